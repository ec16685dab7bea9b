package org.geraniumstand.support.io;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Closes registered resources in reverse order; a failure to close one does not prevent the others from closing. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Registers a resource.
     *
     * @param resource the resource to close
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
     * @throws IllegalStateException if a resource could not be closed; the failures are attached as suppressed
     *     exceptions
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
            IllegalStateException failure = new IllegalStateException("failed to close some resources");
            failures.forEach(failure::addSuppressed);
            throw failure;
        }
    }
}
