package org.geraniumstand.decisions.evidence;

import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;

/** Estimates the size of a row between processes; integers take 1, 2, 3, 5 or 9 bytes as in MessagePack. */
final class RowSize {
    private static final long FRAME_BYTES = 16L;

    private RowSize() {}

    /**
     * Returns the estimate in bytes.
     *
     * @param row the row
     */
    static long bytes(EvidenceRow row) {
        EvidenceKey key = row.key();
        int text = key.process().value().length()
                + key.service().value().length()
                + key.version().value().length()
                + key.route().value().length();
        long counts = ofInteger(row.requests()) + ofInteger(row.failures());
        return FRAME_BYTES
                + text
                + counts
                + row.latencyBuckets().stream().mapToLong(RowSize::ofInteger).sum();
    }

    private static long ofInteger(long value) {
        if (value < 1L << 7) {
            return 1;
        }
        if (value < 1L << 8) {
            return 2;
        }
        if (value < 1L << 16) {
            return 3;
        }
        return value < 1L << 32 ? 5 : 9;
    }
}
