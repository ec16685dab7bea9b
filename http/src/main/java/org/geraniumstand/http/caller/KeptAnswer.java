package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;

/** Keeps the body of an answer until it is complete, so that another attempt can replace it; charged to the memory of callers. */
public final class KeptAnswer {
    /** Memory of a kept byte, in bytes: the array that it is kept in doubles its size whenever it is full. */
    private static final int BYTES_PER_BYTE = 2;

    private final MemoryAccount.Holding holding;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    /**
     * Creates an empty answer.
     *
     * @param exchange the caller's exchange
     */
    public KeptAnswer(HttpServerExchange exchange) {
        this.holding = AnswerMemory.of(exchange);
    }

    /**
     * Keeps a part, also if there is no room for it.
     *
     * @param part the bytes
     * @return whether there is room for it; without, the answer should be passed on as it comes, if it can be
     */
    public boolean add(byte[] part) {
        body.write(part, 0, part.length);
        return holding.charge((long) BYTES_PER_BYTE * part.length);
    }

    /** Returns the number of bytes that are kept. */
    public int size() {
        return body.size();
    }

    /** Returns what is kept, and keeps nothing any more. */
    public byte[] take() {
        byte[] bytes = body.toByteArray();
        clear();
        return bytes;
    }

    /** Keeps nothing any more. */
    public void clear() {
        holding.shrink((long) BYTES_PER_BYTE * body.size());
        body = new ByteArrayOutputStream();
    }
}
