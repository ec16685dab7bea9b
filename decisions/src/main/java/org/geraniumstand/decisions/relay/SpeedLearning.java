package org.geraniumstand.decisions.relay;

import java.util.List;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.time.Timestamp;

/** Decides what the beginning of a successful answer tells of the speed of a service. */
final class SpeedLearning {
    private SpeedLearning() {}

    /**
     * Learns from a call whose successful answer has begun; once for each attempt.
     *
     * @param call the call, at its server
     * @param service its service
     * @param speed how fast the servers of the service work
     * @param nowNanos the monotonic time in nanoseconds
     */
    static void learn(RelayCall call, RelayService service, ServiceSpeed speed, long nowNanos) {
        ServerView server = call.server();
        if (call.speedLearned() || server == null || call.beganNanos().isEmpty()) {
            return;
        }
        call.onSpeedLearned();
        if (server.cold(service, nowNanos)) {
            return;
        }
        double millis = (double) (call.beganNanos().getAsLong() - call.sentNanos()) / Timestamp.NANOS_PER_MILLI;
        int slots = Math.max(1, server.server().slots());
        double slowness = server.slowness(nowNanos);
        if (service.engineCapacity().isEmpty()) {
            double turns = 1 + (double) Math.max(0, call.callsAhead() + 1 - slots) / slots;
            speed.onPlainAnswer(turns, slowness, millis, nowNanos);
            return;
        }
        double tokens = Math.min(call.uncachedTokens(), unsharedTokens(call));
        // An engine without a free slot, or with more to read for others, tells little of its pace.
        if (call.callsAhead() < slots && call.tokensAhead() <= tokens) {
            speed.onFirstToken(call.tokensAhead() + tokens, call.callsAhead(), slowness, millis, nowNanos);
        }
    }

    /** Returns the prompt tokens that no other request shares: whether the others were cached is not known. */
    private static double unsharedTokens(RelayCall call) {
        List<PromptPart> parts = call.head().promptParts();
        int tokens = call.head().promptTokens();
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens -= parts.get(i).tokens();
        }
        return Math.max(0, tokens);
    }
}
