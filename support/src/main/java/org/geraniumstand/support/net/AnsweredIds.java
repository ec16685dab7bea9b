package org.geraniumstand.support.net;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Remembers the ids of the requests that were answered on a connection; confined to one I/O thread.
 *
 * <p>A faulty server may repeat an answer later. The copy bears the id of its request, so it cannot be told from the answer to a
 * second request with the same id. Requests that were answered without success are sent again most often, and are remembered as long as
 * the connection is in use; of the others, the latest are, as a stream that ends inside an event is resumed at once.
 */
public final class AnsweredIds {
    /** Maximum total length of the remembered ids in characters; callers choose the ids. */
    static final int MAX_CHARS = 1_024;

    private final Set<String> unsuccessful = new HashSet<>();
    private final Set<String> successful = new LinkedHashSet<>();
    private int chars;

    AnsweredIds() {}

    /**
     * Remembers the id of a request that was answered, and returns whether the connection may be used again; it may not if there is
     * no room for a request that was answered without success.
     *
     * @param id the id of the request
     * @param success whether the request was answered with success
     */
    public boolean add(String id, boolean success) {
        if (unsuccessful.contains(id)) {
            return true;
        }
        if (successful.remove(id)) {
            chars -= id.length();
        }
        removeOldestSuccessful(id.length());
        if (id.length() > MAX_CHARS - chars) {
            return success;
        }
        chars += id.length();
        return (success ? successful : unsuccessful).add(id);
    }

    /**
     * Returns whether a request is known to have been answered on this connection, and must not be sent on it again.
     *
     * @param id the id of the request
     */
    public boolean contains(String id) {
        return unsuccessful.contains(id) || successful.contains(id);
    }

    private void removeOldestSuccessful(int length) {
        Iterator<String> oldestFirst = successful.iterator();
        while (length > MAX_CHARS - chars && oldestFirst.hasNext()) {
            chars -= oldestFirst.next().length();
            oldestFirst.remove();
        }
    }
}
