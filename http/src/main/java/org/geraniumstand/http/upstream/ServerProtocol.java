package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;

/** How requests and answers of backend servers name each other. */
public interface ServerProtocol {
    /**
     * Writes the headers of a request beside its content length.
     *
     * @param headers filled with the headers
     * @param authority IP number and port of the server
     * @param spec the attempt
     */
    void writeHead(HeaderMap headers, String authority, AttemptSpec spec);

    /**
     * Returns whether an answer may be the one to an attempt.
     *
     * @param head the answer's head
     * @param spec the attempt
     */
    boolean answers(AnswerHead head, AttemptSpec spec);

    /**
     * Returns whether the server states that it did not run the request.
     *
     * @param head the answer's head
     */
    boolean vouchesNotRun(AnswerHead head);
}
