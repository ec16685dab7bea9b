package org.geraniumstand.decisions.evidence;

import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;

/**
 * Estimates the encoded size of a row in messages between processes; integers take 1, 2, 3, 5 or 9 bytes as in
 * MessagePack.
 */
final class RowSize {
    private static final long FRAME_BYTES = 16L;

    private RowSize() {}

    /**
     * Returns the estimated size in bytes.
     *
     * @param row the row
     */
    static long estimateBytes(EvidenceRow row) {
        EvidenceKey key = row.key();
        int textBytes = key.process().value().length()
                + key.service().value().length()
                + key.version().value().length()
                + key.route().value().length();
        long countBytes = integerBytes(row.requests()) + integerBytes(row.failures());
        return FRAME_BYTES
                + textBytes
                + countBytes
                + row.latencyBuckets().stream().mapToLong(RowSize::integerBytes).sum();
    }

    private static long integerBytes(long value) {
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
