package org.geraniumstand.http.upstream;

import io.undertow.client.ClientExchange;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.geraniumstand.support.net.AnswerLimits;
import org.geraniumstand.support.net.ChannelReader;
import org.geraniumstand.support.net.ServerConnection;

/** Drops copies of earlier answers that arrive where the answer to an attempt is due; confined to one I/O thread. */
final class RepeatedAnswers {
    /** Maximum number of answers that are dropped during one attempt. */
    static final int MAX_ANSWERS = 8;

    private final ServerConnection connection;
    private final ByteBufferPool buffers;
    private final Consumer<ClientExchange> onNextHead;
    private final Consumer<IOException> onFailed;
    private ChannelReader reader;
    private int count;
    private int bytes;

    /**
     * Creates an object that drops answers.
     *
     * @param connection connection of the attempt
     * @param buffers pool of the read buffers
     * @param onNextHead called when the head of the next answer has arrived
     * @param onFailed called with the reason if no further answer can be read
     */
    RepeatedAnswers(
            ServerConnection connection,
            ByteBufferPool buffers,
            Consumer<ClientExchange> onNextHead,
            Consumer<IOException> onFailed) {
        this.connection = connection;
        this.buffers = buffers;
        this.onNextHead = onNextHead;
        this.onFailed = onFailed;
    }

    /**
     * Drops an answer and waits for the next one.
     *
     * @param exchange exchange of the answer, whose request must have been sent completely
     */
    void drop(ClientExchange exchange) {
        count++;
        if (count > MAX_ANSWERS) {
            onFailed.accept(new IOException("more than " + MAX_ANSWERS + " repeated answers"));
            return;
        }
        reader = new ChannelReader(exchange.getResponseChannel(), buffers, new BodyListener(exchange));
        reader.start();
    }

    /** Stops reading for good. */
    void stop() {
        if (reader != null) {
            reader.stop();
        }
    }

    /** Counts and drops the parts of an answer's body. */
    private final class BodyListener implements ChannelReader.Listener {
        private final ClientExchange exchange;

        BodyListener(ClientExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void onPart(ByteBuffer part) {
            connection.framing().onProgress();
            bytes += part.remaining();
            if (bytes > AnswerLimits.MAX_INCOMPLETE_BYTES) {
                reader.stop();
                onFailed.accept(new IOException("too many bytes of repeated answers"));
            }
        }

        @Override
        public void onEnd() {
            connection.framing().onProgress();
            connection.awaitFurtherAnswer(exchange.getRequest().getMethod(), onNextHead, onFailed);
        }

        @Override
        public void onFailure(IOException reason) {
            onFailed.accept(reason);
        }
    }
}
