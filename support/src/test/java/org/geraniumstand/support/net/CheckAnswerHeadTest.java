package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CheckAnswerHeadTest {
    private static ClientResponse response(int status) {
        return new ClientResponse(status, "", Protocols.HTTP_1_1);
    }

    private static boolean valid(ClientResponse response) {
        return CheckAnswerHead.check(response).isEmpty();
    }

    private static boolean validWith(HttpString name, String... values) {
        ClientResponse response = response(200);
        for (String value : values) {
            response.getResponseHeaders().add(name, value);
        }
        return valid(response);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 302, 404, 503, 599})
    void acceptsFinalStatuses(int status) {
        assertThat(valid(response(status)), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {-200, 0, 7, 99, 100, 101, 103, 199, 600, 999, 1_000, 2_000})
    void rejectsOtherStatuses(int status) {
        assertThat(valid(response(status)), is(false));
    }

    @Test
    void rejectsOtherProtocols() {
        assertThat(valid(new ClientResponse(200, "", Protocols.HTTP_1_0)), is(true));
        assertThat(valid(new ClientResponse(200, "", new HttpString("HTTP/9.9"))), is(false));
        assertThat(valid(new ClientResponse(200, "", new HttpString("SPDY"))), is(false));
    }

    @Test
    void acceptsOneLengthOrChunks() {
        assertThat(validWith(Headers.CONTENT_LENGTH, "0"), is(true));
        assertThat(validWith(Headers.CONTENT_LENGTH, "4194304"), is(true));
        assertThat(validWith(Headers.TRANSFER_ENCODING, "chunked"), is(true));
        assertThat(validWith(Headers.TRANSFER_ENCODING, "Chunked"), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "+4", "4, 9", "0x4", "abc", "99999999999999999999"})
    void rejectsLengthsThatAreNoNumber(String length) {
        assertThat(validWith(Headers.CONTENT_LENGTH, length), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"gzip", "gzip, chunked", "chunked, chunked", "identity"})
    void rejectsOtherTransferEncodings(String encoding) {
        assertThat(validWith(Headers.TRANSFER_ENCODING, encoding), is(false));
    }

    @Test
    void rejectsSeveralFramings() {
        assertThat(validWith(Headers.CONTENT_LENGTH, "2", "4"), is(false));
        assertThat(validWith(Headers.TRANSFER_ENCODING, "chunked", "chunked"), is(false));
        ClientResponse both = response(200);
        both.getResponseHeaders().add(Headers.CONTENT_LENGTH, "2");
        both.getResponseHeaders().add(Headers.TRANSFER_ENCODING, "chunked");
        assertThat(valid(both), is(false));
    }
}
