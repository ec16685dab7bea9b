package org.geraniumstand.outside.relay;

import java.util.List;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.ServerCall;
import org.geraniumstand.model.relay.ServerHead;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpRequest.Header;

/** Parses and creates the HTTP headers exchanged with callers and backend servers. */
public interface HeaderCodec {
    /**
     * Parses the headers of a caller's request.
     *
     * @param headers the request's headers
     * @return the parsed headers, or a description of the error
     */
    Result<CallerHead, String> parseCallerHead(HeaderView headers);

    /**
     * Returns the headers of a request to a backend server: the caller's headers that are forwarded and the headers
     * that the relay adds.
     *
     * @param caller the headers of the caller's request
     * @param call the information that the relay adds for the server
     */
    List<Header> serverHeaders(HeaderView caller, ServerCall call);

    /**
     * Parses the status and headers of a backend server's response.
     *
     * @param status the HTTP status code
     * @param headers the response's headers
     */
    ServerHead parseServerHead(int status, HeaderView headers);

    /**
     * Returns whether a header of a backend server's response is relayed to callers.
     *
     * @param name the header's name
     */
    boolean isForCallers(String name);

    /**
     * Returns the headers of a response that refuses a request.
     *
     * @param attempt the caller's identifier of its attempt
     * @param retryAfterMillis delay after which the caller should retry, in milliseconds; zero to omit the header
     */
    List<Header> refusalHeaders(String attempt, long retryAfterMillis);
}
