package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;

/** Writes the headers of requests to backend servers and interprets the headers of their answers. */
public interface ServerProtocol {
    /**
     * Writes all headers of a request except its content length.
     *
     * @param headers receives the headers
     * @param authority IP address and port of the server
     * @param spec the description of the attempt
     */
    void writeHead(HeaderMap headers, String authority, AttemptSpec spec);

    /**
     * Returns whether an answer can belong to an attempt.
     *
     * @param head the status and headers of the answer
     * @param spec the description of the attempt
     */
    boolean isAnswerTo(AnswerHead head, AttemptSpec spec);

    /**
     * Returns whether the server declares that it did not run the request.
     *
     * @param head the status and headers of the answer
     */
    boolean declaresNotRun(AnswerHead head);

    /**
     * Returns whether a connection may carry another request after an answer. A faulty server may repeat an answer later, so
     * the answer must be recognizable when it arrives in place of that request's answer.
     *
     * @param head the status and headers of the answer
     */
    boolean allowsReuse(AnswerHead head);
}
