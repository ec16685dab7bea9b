package org.geraniumstand.http.caller;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Tracks the streams that a process is relaying, so that it can hand them over on shutdown; thread-safe. */
public final class LiveStreams {
    private final Set<RequestTask> tasks = ConcurrentHashMap.newKeySet();

    LiveStreams() {}

    /** Controls the handover of a stream. */
    public interface Stream {
        /**
         * Suspends the stream.
         *
         * @param callback called on the stream's thread with the state of the stream, or with empty if it has ended
         */
        void suspend(Consumer<Optional<StreamSnapshot>> callback);

        /** Resumes the stream because no process accepted it. */
        void resume();

        /** Ends the stream in this process because another process accepted it; the caller has to reconnect. */
        void onHandedOver();
    }

    /** Returns the streams that are in progress. */
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
            public void suspend(Consumer<Optional<StreamSnapshot>> callback) {
                task.suspend(callback);
            }

            @Override
            public void resume() {
                task.resume();
            }

            @Override
            public void onHandedOver() {
                task.onHandedOver();
            }
        };
    }
}
