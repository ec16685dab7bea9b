package org.geraniumstand.http.caller;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The streams that a process relays now, so that it can hand them over when it stops; safe for many threads. */
public final class LiveStreams {
    private final Set<RequestTask> tasks = ConcurrentHashMap.newKeySet();

    LiveStreams() {}

    /** A stream that may be handed over. */
    public interface Stream {
        /**
         * Holds the stream back.
         *
         * @param callback told how far it was relayed, or nothing if it has ended; on the stream's thread
         */
        void freeze(Consumer<Optional<StreamSnapshot>> callback);

        /** Goes on with the stream, as no process took it. */
        void thaw();

        /** Ends the stream here, as another process took it; its caller has to reconnect. */
        void handedOver();
    }

    /** Returns the streams that have not ended. */
    public List<Stream> all() {
        return tasks.stream().map(LiveStreams::streamOf).toList();
    }

    void add(RequestTask task) {
        tasks.add(task);
    }

    void remove(RequestTask task) {
        tasks.remove(task);
    }

    private static Stream streamOf(RequestTask task) {
        return new Stream() {
            @Override
            public void freeze(Consumer<Optional<StreamSnapshot>> callback) {
                task.freeze(callback);
            }

            @Override
            public void thaw() {
                task.thaw();
            }

            @Override
            public void handedOver() {
                task.handedOver();
            }
        };
    }
}
