package org.geraniumstand.http.caller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Keeps the latest events of a stream, bounded in characters. */
final class EventHistory {
    private final Deque<String> events = new ArrayDeque<>();
    private final int maxCharacters;
    private int characters;
    private int lastId;

    EventHistory(int maxCharacters) {
        this.maxCharacters = maxCharacters;
    }

    /** Takes over events that another process relayed. */
    void restore(List<String> recent, int lastEventId) {
        recent.forEach(this::keep);
        lastId = lastEventId;
    }

    /** Adds an event and returns its id. */
    int add(String data) {
        keep(data);
        lastId++;
        return lastId;
    }

    /** Returns the id of the latest event, zero before the first. */
    int lastId() {
        return lastId;
    }

    /** Returns the number of characters kept. */
    int characters() {
        return characters;
    }

    /** Returns all events kept, the latest last. */
    List<String> all() {
        return List.copyOf(events);
    }

    /** Returns the events after an id, or nothing if some of them are no longer kept or not yet there. */
    Optional<List<String>> after(int id) {
        int firstKept = lastId - events.size() + 1;
        if (id < firstKept - 1 || id > lastId) {
            return Optional.empty();
        }
        List<String> all = new ArrayList<>(events);
        return Optional.of(all.subList(id - firstKept + 1, all.size()));
    }

    private void keep(String data) {
        events.addLast(data);
        characters += data.length();
        while (characters > maxCharacters && events.size() > 1) {
            characters -= events.removeFirst().length();
        }
    }
}
