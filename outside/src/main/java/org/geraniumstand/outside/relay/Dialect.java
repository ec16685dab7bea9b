package org.geraniumstand.outside.relay;

import java.util.List;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.ServerAnswer;
import org.geraniumstand.model.relay.ServerCall;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpRequest.Header;

/** The headers in which callers, this product and backend servers speak to each other. */
public interface Dialect {
    /**
     * Reads the head of a caller's request.
     *
     * @param headers the request's headers
     * @return what it says, or what is wrong with it
     */
    Result<CallerHead, String> caller(HeaderView headers);

    /**
     * Returns the headers of a request to a backend server: those of the caller that pass, and those of the call.
     *
     * @param caller the headers of the caller's request
     * @param call what the request says to the server
     */
    List<Header> toServer(HeaderView caller, ServerCall call);

    /**
     * Reads the head of a backend server's answer.
     *
     * @param status the HTTP status code
     * @param headers the answer's headers
     */
    ServerAnswer answer(int status, HeaderView headers);

    /**
     * Returns the headers of a refusal.
     *
     * @param attempt the caller's name for its attempt
     * @param retryAfterMillis when the caller may come back, in milliseconds, zero to say nothing
     */
    List<Header> refusal(String attempt, long retryAfterMillis);
}
