package org.geraniumstand.decisions.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.geraniumstand.model.relay.ServicePart;

/** Remembers when servers last began an answer to each prompt part that did not crash them. Not thread-safe. */
final class SoundParts {
    private static final int MAX_PARTS = 4_096;

    private final Map<ServicePart, Long> beganNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServicePart, Long> _eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Records an answer that began at some time and did not crash its server. */
    void onSound(ServicePart part, long atNanos) {
        beganNanos.merge(part, atNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /** Returns when the newest such answer began, if any is remembered. */
    OptionalLong beganNanos(ServicePart part) {
        Long began = beganNanos.get(part);
        return began == null ? OptionalLong.empty() : OptionalLong.of(began);
    }

    /** Returns whether a part was answered in an attempt that began after some moment. */
    boolean isSoundSince(ServicePart part, long sinceNanos) {
        Long began = beganNanos.get(part);
        return began != null && began - sinceNanos > 0;
    }
}
