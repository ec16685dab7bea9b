package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/** Finds what is held for the answer of an exchange. */
final class AnswerMemory {
    private static final AttachmentKey<MemoryAccount.Holding> KEY = AttachmentKey.create(MemoryAccount.Holding.class);

    private AnswerMemory() {}

    /**
     * Opens the holding of an exchange's answer, which is returned to the account when the exchange is complete, however it ends.
     *
     * @param exchange the caller's exchange
     * @param account the memory held for answers
     */
    static void open(HttpServerExchange exchange, MemoryAccount account) {
        MemoryAccount.Holding holding = account.open();
        exchange.putAttachment(KEY, holding);
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            holding.release();
            next.proceed();
        });
    }

    /**
     * Returns the holding of an exchange's answer; one of its own account if the exchange was refused before it was counted.
     *
     * @param exchange the caller's exchange
     */
    static MemoryAccount.Holding of(HttpServerExchange exchange) {
        MemoryAccount.Holding holding = exchange.getAttachment(KEY);
        return holding == null ? new MemoryAccount(CallerMemory.UNLIMITED).open() : holding;
    }
}
