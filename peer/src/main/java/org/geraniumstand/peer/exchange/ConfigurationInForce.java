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

/** Holds the configuration in force and refuses to go back; belongs to one thread. */
final class ConfigurationInForce {
    private static final Log LOG = Log.of(ConfigurationInForce.class);

    private final int ownLevel;
    private Version version = Version.ABSENT;
    private Version lastRefused = Version.ABSENT;
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

    /** Returns the document if it came into force by this. */
    Optional<Configuration> offer(String candidate) {
        Configuration read;
        try {
            read = Json.LENIENT.readValue(candidate, Configuration.class);
        } catch (JsonProcessingException e) {
            LOG.warn("configuration-unreadable", Field.of("reason", e.getOriginalMessage()));
            return Optional.empty();
        }
        if (read == null) {
            return Optional.empty();
        }
        Version next = new Version(read.generation(), checksum(candidate), read.requiredLevel());
        Verdict verdict = ConfigurationAcceptance.evaluate(version, next, ownLevel);
        if (verdict == Verdict.APPLY) {
            version = next;
            text = Optional.of(candidate);
            confirmedNanos = Optional.empty();
            blockedLevel = 0;
            return Optional.of(read);
        }
        report(verdict, next);
        return Optional.empty();
    }

    /** Notes that a generation was confirmed by the store at a time. */
    void confirm(long generation, long atNanos) {
        if (generation == version.generation()
                && confirmedNanos.map(known -> atNanos - known > 0).orElse(true)) {
            confirmedNanos = Optional.of(atNanos);
        }
    }

    /** Notes that the store holds a text; confirms the document in force if it is that one. */
    void confirmText(String stored, long atNanos) {
        if (text.map(stored::equals).orElse(false)) {
            confirm(version.generation(), atNanos);
        }
    }

    /** Compares the version that a peer has in force and returns whether it is the same document. */
    boolean compare(Version other, ProcessId peer) {
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

    private void report(Verdict verdict, Version refused) {
        if (verdict == Verdict.LEVEL_TOO_HIGH) {
            blockedLevel = refused.requiredLevel();
        }
        boolean worthwhile = verdict == Verdict.CONFLICT || verdict == Verdict.LEVEL_TOO_HIGH;
        if (!worthwhile || refused.equals(lastRefused)) {
            return;
        }
        lastRefused = refused;
        LOG.warn(
                verdict == Verdict.CONFLICT ? "configuration-conflict" : "configuration-needs-newer-process",
                Field.of("generation", refused.generation()),
                Field.of("requiredLevel", refused.requiredLevel()),
                Field.of("ownLevel", ownLevel),
                Field.of("inForce", version.generation()));
    }

    private static long checksum(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }
}
