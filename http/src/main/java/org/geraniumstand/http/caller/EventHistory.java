package org.geraniumstand.http.caller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Stores the most recent events of a stream, up to a number of characters. */
final class EventHistory {
    private final Deque<String> events = new ArrayDeque<>();
    private final int maxCharacters;
    private int characters;
    private int lastId;

    EventHistory(int maxCharacters) {
        this.maxCharacters = maxCharacters;
    }

    /** Restores events that another process relayed. */
    void restore(List<String> recent, int lastEventId) {
        recent.forEach(this::append);
        lastId = lastEventId;
    }

    /** Adds an event and returns its id. */
    int add(String data) {
        append(data);
        lastId++;
        return lastId;
    }

    /** Returns the id of the latest event, or zero if there is none. */
    int lastId() {
        return lastId;
    }

    /** Returns the number of characters in the stored events. */
    int characters() {
        return characters;
    }

    /** Returns all stored events in order, the latest last. */
    List<String> all() {
        return List.copyOf(events);
    }

    /** Returns the events after an id, or empty if some of them have been evicted or the id has not been reached. */
    Optional<List<String>> after(int id) {
        int firstRetained = lastId - events.size() + 1;
        if (id < firstRetained - 1 || id > lastId) {
            return Optional.empty();
        }
        List<String> all = new ArrayList<>(events);
        return Optional.of(all.subList(id - firstRetained + 1, all.size()));
    }

    private void append(String data) {
        events.addLast(data);
        characters += data.length();
        while (characters > maxCharacters && events.size() > 1) {
            characters -= events.removeFirst().length();
        }
    }
}
