package org.geraniumstand.support.net;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Rejects the head of an answer that is no final answer of HTTP/1.x, or whose end can be told in more than one way.
 *
 * <p>The HTTP client accepts any protocol name and any number as the status, and takes the first of two lengths. Source: RFC 9112,
 * sections 4 and 6.3.
 */
public final class CheckAnswerHead {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final String CHUNKED = "chunked";
    private static final Set<HttpString> PROTOCOLS = Set.of(Protocols.HTTP_1_0, Protocols.HTTP_1_1);
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private CheckAnswerHead() {}

    /**
     * Returns the reason to reject a head, or empty if it is valid.
     *
     * @param response the head as the HTTP client parsed it
     */
    public static Optional<String> check(ClientResponse response) {
        if (!PROTOCOLS.contains(response.getProtocol())) {
            return Optional.of("the protocol is not HTTP/1.x");
        }
        if (response.getResponseCode() < FIRST_FINAL_STATUS || response.getResponseCode() > LAST_STATUS) {
            return Optional.of("the status is not that of a final answer");
        }
        return checkFraming(response.getResponseHeaders());
    }

    private static Optional<String> checkFraming(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = headers.get(Headers.TRANSFER_ENCODING);
        if (lengths != null && encodings != null) {
            return Optional.of("the answer has a length and a transfer encoding");
        }
        if (lengths != null
                && (lengths.size() > 1 || !LENGTH.matcher(lengths.getFirst()).matches())) {
            return Optional.of("the length is not a single number");
        }
        if (encodings != null && (encodings.size() > 1 || !CHUNKED.equalsIgnoreCase(encodings.getFirst()))) {
            return Optional.of("the transfer encoding is not chunked");
        }
        return Optional.empty();
    }
}
