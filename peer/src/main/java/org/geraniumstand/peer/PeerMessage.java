package org.geraniumstand.peer;

import java.util.List;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.AppliedGeneration;
import org.geraniumstand.model.member.MemberUpdate;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.LimitShare;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.relay.WaitingCalls;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.outside.relay.RevisionStore;

/** Represents a message from one entry process to another. */
public sealed interface PeerMessage {
    /**
     * Reports that the sender is alive, along with a summary of its state; sent periodically.
     *
     * @param incarnation the sender's incarnation number, which only the sender increments
     * @param memberDigest digest of the sender's membership table; equal digests mean that both processes consider the
     *     same members alive
     * @param generation generation of the configuration in force at the sender, or -1 if there is none
     * @param checksum checksum of the text of that configuration
     * @param confirmationAgeMillis time since the store last confirmed that generation, in milliseconds, or -1 if it
     *     never did
     */
    record Heartbeat(long incarnation, long memberDigest, long generation, long checksum, long confirmationAgeMillis)
            implements PeerMessage {}

    /**
     * Carries membership updates.
     *
     * @param updates statements about the state of individual members
     */
    record MembershipUpdate(List<MemberUpdate> updates) implements PeerMessage {
        /** Copies the list. */
        public MembershipUpdate {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Reports which generation of the configuration each process has in force.
     *
     * @param generations one entry per process; the receiver keeps the highest generation of each process
     */
    record AppliedGenerationsUpdate(List<AppliedGeneration> generations) implements PeerMessage {
        /** Copies the list. */
        public AppliedGenerationsUpdate {
            generations = List.copyOf(generations);
        }
    }

    /**
     * Requests the configuration in force at the receiver, provided it is newer than the sender's.
     *
     * @param afterGeneration generation in force at the sender, or -1 if there is none; the receiver responds only with
     *     a higher generation
     */
    record ConfigurationRequest(long afterGeneration) implements PeerMessage {}

    /**
     * Returns the complete configuration to a peer that requested it.
     *
     * <p>The text is forwarded unmodified, so that a process with a lower protocol level drops no entry that it does
     * not understand.
     *
     * @param text the configuration as JSON text
     */
    record ConfigurationResponse(String text) implements PeerMessage {}

    /**
     * Wraps a broadcast message, which neighbours forward to each other until every member has received it.
     *
     * @param origin the process that broadcast the message
     * @param sequence sequence number of the broadcast, unique per origin
     * @param content the broadcast message as encoded by its origin
     */
    record BroadcastEnvelope(ProcessId origin, long sequence, EncodedMessage content) implements PeerMessage {}

    /**
     * Carries evidence about service versions.
     *
     * @param rows evidence recorded by any process; of two rows with the same key the receiver keeps the one with
     *     more requests
     */
    record EvidenceUpdate(List<EvidenceRow> rows) implements PeerMessage {
        /** Copies the list. */
        public EvidenceUpdate {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Reports bad versions.
     *
     * @param badVersions the bad versions, each with the move that introduced it
     */
    record BadVersionsUpdate(List<BadVersion> badVersions) implements PeerMessage {
        /** Copies the list. */
        public BadVersionsUpdate {
            badVersions = List.copyOf(badVersions);
        }
    }

    /**
     * Grants the receiver concurrency on servers that the sender owns.
     *
     * @param grants the grants, each for one server and a limited time
     */
    record GrantUpdate(List<Grant> grants) implements PeerMessage {
        /** Copies the list. */
        public GrantUpdate {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Reports the sender's demand for concurrency to the owner of the servers.
     *
     * @param demands the sender's demand, each entry for one server
     */
    record DemandReport(List<Demand> demands) implements PeerMessage {
        /** Copies the list. */
        public DemandReport {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Hands over a stream to the receiver because the sender shuts down.
     *
     * @param state the state from which the receiver resumes the stream
     */
    record StreamHandover(StreamState state) implements PeerMessage {}

    /**
     * Acknowledges that the sender accepted a stream that was handed over to it.
     *
     * @param team the caller's team
     * @param callerRequestId the request id that the caller chose
     */
    record StreamHandoverAck(String team, String callerRequestId) implements PeerMessage {}

    /**
     * Forwards a change of a claim to the process that normally writes the claim's slot.
     *
     * @param correlation correlation id that the sender assigned to this message
     * @param change the change to apply
     */
    record ClaimForward(long correlation, ClaimChange change) implements PeerMessage {}

    /**
     * Returns the outcome of a forwarded change of a claim.
     *
     * @param correlation correlation id of the message that carried the change
     * @param verdict outcome of the change
     */
    record ClaimReply(long correlation, ClaimResult verdict) implements PeerMessage {}

    /**
     * Asks whether the receiver holds a given stream that was handed over.
     *
     * @param team the caller's team
     * @param callerRequestId the request id that the caller chose
     */
    record StreamLookup(String team, String callerRequestId) implements PeerMessage {}

    /**
     * Reports that the sender holds a stream that was handed over.
     *
     * @param team the caller's team
     * @param callerRequestId the request id that the caller chose
     */
    record StreamFound(String team, String callerRequestId) implements PeerMessage {}

    /**
     * Reports changes of the platform's list of backend servers that the sender was the first to observe.
     *
     * @param change the servers that were added, changed or removed, and the reclaim notices
     */
    record FleetUpdate(FleetChange change) implements PeerMessage {}

    /**
     * Reports the quota that the sender has charged to each team since the sender started, and its calls in flight.
     *
     * @param usages quota usage, one entry per team
     * @param inFlight the sender's calls in flight, one entry per server; servers without calls are omitted
     * @param lostServers servers that became unreachable for the sender while the store is unavailable to it
     * @param evidence the sender's evidence of prompts that crash servers
     * @param limits limits that servers have named, with the sender's demand for these servers
     * @param waiting the sender's waiting calls; empty while no call waits at any process
     * @param needsLevels whether the sender needs the levels of the quotas and tells which usage is not new
     * @param earlierUsages the part of the usage that an aggregator had received earlier, one entry per team; empty unless
     *     the sender needs the levels
     * @param quotaRequest what the sender holds of quotas and wants in advance
     */
    record QuotaUsageReport(
            List<TeamUsage> usages,
            List<ServerInFlight> inFlight,
            List<LostServer> lostServers,
            CrashEvidence evidence,
            List<LimitDemand> limits,
            List<WaitingCalls> waiting,
            boolean needsLevels,
            List<TeamUsage> earlierUsages,
            QuotaRequest quotaRequest)
            implements PeerMessage {
        /** Copies the lists. */
        public QuotaUsageReport {
            earlierUsages = List.copyOf(earlierUsages);
            usages = List.copyOf(usages);
            inFlight = List.copyOf(inFlight);
            lostServers = List.copyOf(lostServers);
            limits = List.copyOf(limits);
            waiting = List.copyOf(waiting);
        }
    }

    /**
     * Reports the aggregate quota usage of all processes other than the receiver that reported to the sender.
     *
     * @param usages quota usage since the sender began to aggregate, one entry per team
     * @param reportingProcesses number of processes that recently reported to the sender
     * @param inFlight calls in flight of those processes, one entry per server; empty if the sender does not share them
     *     with the receiver
     * @param lostServers servers that recently became unreachable for any process while the store was unavailable to it
     * @param evidence evidence of all processes of prompts that crash servers
     * @param limits limits that servers have named to any process, with the shares granted to the receiver
     * @param waiting waiting calls of those processes; empty if the sender does not share them with the receiver
     * @param levels levels of the quotas at the sender; empty if the receiver does not need them
     * @param quotaAnswer units of quotas for the receiver
     */
    record AggregateQuotaUsage(
            List<TeamUsage> usages,
            int reportingProcesses,
            List<ServerInFlight> inFlight,
            List<LostServer> lostServers,
            CrashEvidence evidence,
            List<LimitShare> limits,
            List<WaitingCalls> waiting,
            QuotaLevels levels,
            QuotaAnswer quotaAnswer)
            implements PeerMessage {
        /** Copies the lists. */
        public AggregateQuotaUsage {
            usages = List.copyOf(usages);
            inFlight = List.copyOf(inFlight);
            lostServers = List.copyOf(lostServers);
            limits = List.copyOf(limits);
            waiting = List.copyOf(waiting);
        }
    }

    /**
     * Asks an aggregator for units of quotas that waiting requests need.
     *
     * @param usages units that the sender has used since it started, one entry per team in the request
     * @param request what the sender holds and asks for
     */
    record QuotaUnitsRequest(List<TeamUsage> usages, QuotaRequest request) implements PeerMessage {
        /** Copies the list. */
        public QuotaUnitsRequest {
            usages = List.copyOf(usages);
        }
    }

    /**
     * Answers a {@link QuotaUnitsRequest}.
     *
     * @param reportingProcesses number of processes that recently reported to the sender
     * @param answer units for the receiver
     */
    record QuotaUnitsAnswer(int reportingProcesses, QuotaAnswer answer) implements PeerMessage {}

    /**
     * Reports the number of requests that the sender has started.
     *
     * @param windows request counts by window, limited to the windows that the receiver may not have yet
     */
    record RequestCountReport(List<WindowCounts> windows) implements PeerMessage {
        /** Copies the list. */
        public RequestCountReport {
            windows = List.copyOf(windows);
        }
    }

    /**
     * Acknowledges request counts.
     *
     * @param totals number of the receiver's requests that the sender has recorded, by window
     */
    record RequestCountAck(List<WindowTotal> totals) implements PeerMessage {
        /** Copies the list. */
        public RequestCountAck {
            totals = List.copyOf(totals);
        }
    }

    /**
     * Reports the version of the relay configuration that is in force at the sender.
     *
     * @param version the version, or zero if there is none
     */
    record RelayConfigurationVersion(long version) implements PeerMessage {}

    /**
     * Requests the relay configuration in force at the receiver, provided it is newer than the sender's.
     *
     * @param afterVersion version in force at the sender
     */
    record RelayConfigurationRequest(long afterVersion) implements PeerMessage {}

    /**
     * Forwards changes of the store that the sender has read.
     *
     * <p>The changes are all relevant ones after revision {@code afterRevision}, up to and including revision {@code throughRevision}.
     *
     * @param afterRevision revision that precedes the changes, in the same era as they
     * @param throughRevision last revision that the changes cover
     * @param incomplete true if changes were omitted because they are too large
     * @param changes the changes in the order of their revisions
     */
    record StoreUpdate(
            StoreRevision afterRevision,
            StoreRevision throughRevision,
            boolean incomplete,
            List<RevisionStore.Change> changes)
            implements PeerMessage {
        /** Copies the list. */
        public StoreUpdate {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Returns the relay configuration that is in force at the sender.
     *
     * @param version version of the configuration
     * @param text the configuration document exactly as stored
     */
    record RelayConfigurationResponse(long version, String text) implements PeerMessage {}
}
