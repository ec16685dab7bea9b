package org.geraniumstand.support.io;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Gathers resources and closes them in reverse order; a failure to close one does not keep the others open. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Takes a resource in.
     *
     * @param resource the resource
     * @param <T> type of the resource
     * @return the resource
     */
    public <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    /**
     * Closes all resources.
     *
     * @throws IllegalStateException if some could not be closed, with the failures as suppressed ones
     */
    @Override
    public void close() {
        List<Exception> failures = new ArrayList<>();
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception e) {
                failures.add(e);
            }
        }
        if (!failures.isEmpty()) {
            IllegalStateException failure = new IllegalStateException("some resources could not be closed");
            failures.forEach(failure::addSuppressed);
            throw failure;
        }
    }
}
