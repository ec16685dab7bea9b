package org.geraniumstand.http.upstream;

import java.net.URI;

/**
 * Identifies the server at the other end of a connection.
 *
 * @param uri scheme, IP address and port
 * @param authority IP address and port in the form of the host header
 */
record Origin(URI uri, String authority) {}
