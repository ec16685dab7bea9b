package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.relay.PromptPart;

/**
 * Simulates a model engine in virtual time. A step writes a token of each running request and reads a chunk of the oldest
 * prompt that isn't read yet; requests are admitted in order while their tokens fit in its memory.
 */
final class PacedEngine {
    static final int SLOTS = 96;
    static final long MEMORY_TOKENS = 270_365;
    private static final int CHUNK_TOKENS = 512;
    private static final double TOKENS_PER_MILLI = 94;
    private static final double STEP_MILLIS = 6;
    private static final double RUNNING_MILLIS = 0.2;

    private final Deque<Run> waiting = new ArrayDeque<>();
    private final Deque<Run> reading = new ArrayDeque<>();
    private final List<Run> writing = new ArrayList<>();
    private final Set<Long> cached = new HashSet<>();
    private double stepEndMillis;
    private long memory;

    /** Holds a call with what is left to read and to write. */
    static final class Run {
        final RelayCall call;
        private int unread;
        private int unwritten;
        private boolean begun;

        Run(RelayCall call) {
            this.call = call;
            this.unwritten = call.head().answerTokens();
        }

        private int tokens() {
            return call.head().promptTokens() + call.head().answerTokens();
        }
    }

    void accept(RelayCall call) {
        waiting.add(new Run(call));
    }

    /** Lists the calls that a step began and ended to answer. */
    record Progress(List<RelayCall> begun, List<RelayCall> ended) {}

    /** Runs the step that ends now, if any. */
    Progress advance(long nowMillis) {
        Progress progress = new Progress(new ArrayList<>(), new ArrayList<>());
        if (nowMillis < stepEndMillis) {
            return progress;
        }
        for (Run run : writing) {
            if (!run.begun) {
                run.begun = true;
                progress.begun().add(run.call);
            }
            run.unwritten--;
        }
        writing.removeIf(run -> run.unwritten <= 0 && end(run, progress));
        admit();
        if (reading.isEmpty() && writing.isEmpty()) {
            return progress;
        }
        int read = readChunk();
        stepEndMillis = nowMillis + STEP_MILLIS + RUNNING_MILLIS * writing.size() + read / TOKENS_PER_MILLI;
        return progress;
    }

    private boolean end(Run run, Progress progress) {
        memory -= run.tokens();
        return progress.ended().add(run.call);
    }

    private void admit() {
        while (!waiting.isEmpty()
                && reading.size() + writing.size() < SLOTS
                && memory + waiting.peek().tokens() <= MEMORY_TOKENS) {
            Run run = waiting.remove();
            memory += run.tokens();
            boolean hit = true;
            for (PromptPart part : run.call.head().promptParts()) {
                hit &= cached.contains(part.id());
                run.unread += hit ? 0 : part.tokens();
            }
            reading.add(run);
        }
    }

    private int readChunk() {
        int read = 0;
        while (read < CHUNK_TOKENS && !reading.isEmpty()) {
            Run run = reading.peek();
            int tokens = Math.min(CHUNK_TOKENS - read, run.unread);
            run.unread -= tokens;
            read += tokens;
            if (run.unread == 0) {
                run.call.head().promptParts().forEach(part -> cached.add(part.id()));
                writing.add(reading.remove());
            }
        }
        return read;
    }
}
