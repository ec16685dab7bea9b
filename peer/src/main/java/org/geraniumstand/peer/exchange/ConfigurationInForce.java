package org.geraniumstand.peer.exchange;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.geraniumstand.decisions.membership.ConfigurationAcceptance;
import org.geraniumstand.decisions.membership.ConfigurationAcceptance.Verdict;
import org.geraniumstand.decisions.membership.ConfigurationAcceptance.Version;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.log.Log;

/** Holds the configuration in force, whose generation never decreases; confined to one thread. */
final class ConfigurationInForce {
    private static final Log LOG = Log.of(ConfigurationInForce.class);

    private final int ownLevel;
    private Version version = Version.ABSENT;
    private Version lastRejected = Version.ABSENT;
    private Optional<String> text = Optional.empty();
    private Optional<Long> confirmedNanos = Optional.empty();
    private int blockedLevel;

    ConfigurationInForce(int ownLevel) {
        this.ownLevel = ownLevel;
    }

    Version version() {
        return version;
    }

    Optional<String> text() {
        return text;
    }

    int blockedLevel() {
        return blockedLevel;
    }

    Optional<Long> confirmedNanos() {
        return confirmedNanos;
    }

    /** Applies a configuration of a newer generation and a supported level; returns it if it came into force. */
    Optional<Configuration> tryApply(String candidate) {
        Configuration parsed;
        try {
            parsed = Json.LENIENT.readValue(candidate, Configuration.class);
        } catch (JsonProcessingException e) {
            LOG.warn("configuration-unreadable", Field.of("reason", e.getOriginalMessage()));
            return Optional.empty();
        }
        if (parsed == null) {
            return Optional.empty();
        }
        Version next = new Version(parsed.generation(), checksum(candidate), parsed.requiredLevel());
        Verdict verdict = ConfigurationAcceptance.evaluate(version, next, ownLevel);
        if (verdict == Verdict.APPLY) {
            version = next;
            text = Optional.of(candidate);
            confirmedNanos = Optional.empty();
            blockedLevel = 0;
            return Optional.of(parsed);
        }
        report(verdict, next);
        return Optional.empty();
    }

    /** Records that the store confirmed a generation at the given time. */
    void confirm(long generation, long atNanos) {
        if (generation == version.generation()
                && confirmedNanos.map(previous -> atNanos - previous > 0).orElse(true)) {
            confirmedNanos = Optional.of(atNanos);
        }
    }

    /** Confirms the configuration in force if the text held by the store is identical to it. */
    void confirmIfStored(String stored, long atNanos) {
        if (text.map(stored::equals).orElse(false)) {
            confirm(version.generation(), atNanos);
        }
    }

    /**
     * Returns whether a peer has the same configuration in force; reports equal generations with different contents.
     */
    boolean matchesPeer(Version other, ProcessId peer) {
        if (other.generation() != version.generation()) {
            return false;
        }
        if (other.checksum() != version.checksum()) {
            LOG.debug("configuration-differs", Field.of("peer", peer));
            report(Verdict.CONFLICT, other);
            return false;
        }
        return true;
    }

    private void report(Verdict verdict, Version rejected) {
        if (verdict == Verdict.LEVEL_TOO_HIGH) {
            blockedLevel = rejected.requiredLevel();
        }
        boolean reportable = verdict == Verdict.CONFLICT || verdict == Verdict.LEVEL_TOO_HIGH;
        if (!reportable || rejected.equals(lastRejected)) {
            return;
        }
        lastRejected = rejected;
        LOG.warn(
                verdict == Verdict.CONFLICT ? "configuration-conflict" : "configuration-needs-newer-process",
                Field.of("generation", rejected.generation()),
                Field.of("requiredLevel", rejected.requiredLevel()),
                Field.of("ownLevel", ownLevel),
                Field.of("inForce", version.generation()));
    }

    private static long checksum(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }
}
