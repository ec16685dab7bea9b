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
     * Interprets the head of an answer.
     *
     * @param head the status and headers of the answer
     */
    AnswerStatement statementOf(AnswerHead head);
}
