package org.geraniumstand.peer.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.peer.PeerMessage;

/** Keeps what is known about versions, for processes that start later; belongs to one thread. */
final class Findings {
    private static final int ROWS_KEPT = 10_000;
    private static final int ROWS_PER_MESSAGE = 500;
    private static final long MIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long PERIOD_PER_MEMBER_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final Map<EvidenceKey, EvidenceRow> rows = new LinkedHashMap<>();
    private final Map<EvidenceKey, EvidenceRow> unsent = new LinkedHashMap<>();
    private final Map<MoveId, BadMark> marks = new LinkedHashMap<>();
    private long sentNanos;

    /** Takes in rows of this process, to be sent with the next batch. */
    void share(Collection<EvidenceRow> own) {
        own.forEach(row -> unsent.put(row.key(), row));
        merge(own);
    }

    void merge(Collection<EvidenceRow> others) {
        for (EvidenceRow row : others) {
            rows.merge(row.key(), row, (a, b) -> b.requests() >= a.requests() ? b : a);
        }
        while (rows.size() > ROWS_KEPT) {
            rows.remove(rows.keySet().iterator().next());
        }
    }

    void mark(Collection<BadMark> bad) {
        bad.forEach(mark -> marks.putIfAbsent(mark.move(), mark));
    }

    /** Returns the rows to send now; the more members there are, the longer they are gathered. */
    List<EvidenceRow> due(int members, long nowNanos) {
        long period = Math.max(MIN_PERIOD_NANOS, members * PERIOD_PER_MEMBER_NANOS);
        if (unsent.isEmpty() || nowNanos - sentNanos < period) {
            return List.of();
        }
        sentNanos = nowNanos;
        List<EvidenceRow> batch = List.copyOf(unsent.values());
        unsent.clear();
        return batch;
    }

    /** Returns all that is known as messages of bounded size. */
    List<PeerMessage> all() {
        List<PeerMessage> messages = new ArrayList<>();
        if (!marks.isEmpty()) {
            messages.add(new PeerMessage.BadMarkShare(List.copyOf(marks.values())));
        }
        List<EvidenceRow> list = List.copyOf(rows.values());
        for (int from = 0; from < list.size(); from += ROWS_PER_MESSAGE) {
            int to = Math.min(list.size(), from + ROWS_PER_MESSAGE);
            messages.add(new PeerMessage.EvidenceShare(list.subList(from, to)));
        }
        return messages;
    }
}
