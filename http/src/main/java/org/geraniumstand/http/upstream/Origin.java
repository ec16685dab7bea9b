package org.geraniumstand.http.upstream;

import java.net.URI;

/**
 * Where connections lead.
 *
 * @param uri scheme, IP number and port
 * @param authority IP number and port, as the host header names them
 */
record Origin(URI uri, String authority) {}
