package org.geraniumstand.http.caller;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/** Copies the end-to-end headers of a backend server's answer to the answer for the caller. */
public final class RelayedHeaders {
    static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

    // Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that this process sets itself.
    private static final Set<HttpString> EXCLUDED = Set.of(
            Headers.CONNECTION,
            Headers.TRANSFER_ENCODING,
            Headers.CONTENT_LENGTH,
            Headers.UPGRADE,
            Headers.TE,
            Headers.TRAILER,
            Headers.PROXY_AUTHENTICATE,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            REQUEST_ID);

    private RelayedHeaders() {}

    /**
     * Copies all headers except hop-by-hop headers and those that this process sets itself.
     *
     * @param from the headers of the server's answer
     * @param to the headers of the answer to the caller
     */
    public static void copy(HeaderMap from, HeaderMap to) {
        for (HeaderValues values : from) {
            if (!EXCLUDED.contains(values.getHeaderName())) {
                to.remove(values.getHeaderName());
                to.addAll(values.getHeaderName(), values);
            }
        }
    }
}
