package org.geraniumstand.peer.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.peer.PeerMessage;

/**
 * Stores evidence and bad versions, so that they can be sent to processes that join later; confined to one
 * thread.
 */
final class CanaryState {
    private static final int MAX_ROWS = 10_000;
    private static final int ROWS_PER_MESSAGE = 500;
    private static final long MIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long PERIOD_PER_MEMBER_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final Map<EvidenceKey, EvidenceRow> rows = new LinkedHashMap<>();
    private final Map<EvidenceKey, EvidenceRow> unsent = new LinkedHashMap<>();
    private final Map<MoveId, BadVersion> badVersions = new LinkedHashMap<>();
    private long lastSentNanos;

    /** Adds evidence recorded by this process, which is sent with the next batch. */
    void addOwn(Collection<EvidenceRow> own) {
        own.forEach(row -> unsent.put(row.key(), row));
        merge(own);
    }

    void merge(Collection<EvidenceRow> added) {
        for (EvidenceRow row : added) {
            rows.merge(
                    row.key(), row, (existing, update) -> update.requests() >= existing.requests() ? update : existing);
        }
        while (rows.size() > MAX_ROWS) {
            rows.remove(rows.keySet().iterator().next());
        }
    }

    void addBadVersions(Collection<BadVersion> added) {
        added.forEach(badVersion -> badVersions.putIfAbsent(badVersion.move(), badVersion));
    }

    /** Returns the batch of rows that is due, if any; the batching period grows with the number of members. */
    List<EvidenceRow> takeDue(int members, long nowNanos) {
        long period = Math.max(MIN_PERIOD_NANOS, members * PERIOD_PER_MEMBER_NANOS);
        if (unsent.isEmpty() || nowNanos - lastSentNanos < period) {
            return List.of();
        }
        lastSentNanos = nowNanos;
        List<EvidenceRow> batch = List.copyOf(unsent.values());
        unsent.clear();
        return batch;
    }

    /** Returns all stored evidence and bad versions as messages of bounded size. */
    List<PeerMessage> toMessages() {
        List<PeerMessage> messages = new ArrayList<>();
        if (!badVersions.isEmpty()) {
            messages.add(new PeerMessage.BadVersionsUpdate(List.copyOf(badVersions.values())));
        }
        List<EvidenceRow> list = List.copyOf(rows.values());
        for (int from = 0; from < list.size(); from += ROWS_PER_MESSAGE) {
            int to = Math.min(list.size(), from + ROWS_PER_MESSAGE);
            messages.add(new PeerMessage.EvidenceUpdate(list.subList(from, to)));
        }
        return messages;
    }
}
