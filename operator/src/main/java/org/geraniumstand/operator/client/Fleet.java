package org.geraniumstand.operator.client;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.status.StatusReport;

/**
 * All entry processes that can be found from the ones that operators named.
 *
 * @param reports status by operators' listener, of each that answered
 * @param unreachable operators' listeners that did not answer, and how
 */
public record Fleet(Map<URI, StatusReport> reports, Map<URI, String> unreachable) {
    private static final String STATUS_PATH = "/v1/status";

    /** Copies the maps. */
    public Fleet {
        reports = Map.copyOf(reports);
        unreachable = Map.copyOf(unreachable);
    }

    /**
     * Asks the named entry processes and the members that they know.
     *
     * @param client makes the calls
     */
    public static Fleet find(OperatorClient client) {
        Map<URI, StatusReport> reports = new LinkedHashMap<>();
        Map<URI, String> unreachable = new LinkedHashMap<>();
        Set<URI> asked = new LinkedHashSet<>();
        client.entries().forEach(entry -> ask(client, entry, asked, reports, unreachable));
        List<Member> members = reports.values().stream()
                .flatMap(report -> report.members().stream())
                .map(MemberStatus::member)
                .toList();
        members.forEach(member -> ask(client, listener(member), asked, reports, unreachable));
        return new Fleet(reports, unreachable);
    }

    /** Returns the newest generation that is known to be in force at each live member. */
    public Map<ProcessId, Long> generations() {
        Map<ProcessId, Long> known = new TreeMap<>();
        reports.values().forEach(report -> {
            known.merge(report.process(), report.generation(), Math::max);
            report.members().forEach(m -> known.merge(m.member().id(), m.generation(), Math::max));
        });
        return known;
    }

    private static void ask(
            OperatorClient client,
            URI entry,
            Set<URI> asked,
            Map<URI, StatusReport> reports,
            Map<URI, String> unreachable) {
        if (!asked.add(entry)) {
            return;
        }
        client.getFrom(entry, STATUS_PATH, StatusReport.class).fold(report -> reports.put(entry, report), error -> {
            unreachable.put(entry, error.message());
            return null;
        });
    }

    private static URI listener(Member member) {
        return URI.create("http://" + member.address() + ":" + member.operatorPort());
    }
}
