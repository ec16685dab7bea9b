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
 * Holds the status of all entry processes that can be discovered from the given ones.
 *
 * @param reports status reports of the entry processes that responded, by operators' listener
 * @param unreachable error messages of the entry processes that returned no status, by operators' listener
 */
public record ProcessStatuses(Map<URI, StatusReport> reports, Map<URI, String> unreachable) {
    private static final String STATUS_PATH = "/v1/status";

    /** Makes defensive copies of the maps. */
    public ProcessStatuses {
        reports = Map.copyOf(reports);
        unreachable = Map.copyOf(unreachable);
    }

    /**
     * Reads the status of the given entry processes and of the members that they report.
     *
     * @param client sends the requests
     */
    public static ProcessStatuses discover(OperatorClient client) {
        Map<URI, StatusReport> reports = new LinkedHashMap<>();
        Map<URI, String> unreachable = new LinkedHashMap<>();
        Set<URI> visited = new LinkedHashSet<>();
        client.entries().forEach(entry -> readStatus(client, entry, visited, reports, unreachable));
        List<Member> members = reports.values().stream()
                .flatMap(report -> report.members().stream())
                .map(MemberStatus::member)
                .toList();
        members.forEach(member -> readStatus(client, operatorListener(member), visited, reports, unreachable));
        return new ProcessStatuses(reports, unreachable);
    }

    /** Returns the highest configuration generation that is reported to be in force at each live member. */
    public Map<ProcessId, Long> generations() {
        Map<ProcessId, Long> highest = new TreeMap<>();
        reports.values().forEach(report -> {
            highest.merge(report.process(), report.generation(), Math::max);
            report.members().forEach(m -> highest.merge(m.member().id(), m.generation(), Math::max));
        });
        return highest;
    }

    private static void readStatus(
            OperatorClient client,
            URI entry,
            Set<URI> visited,
            Map<URI, StatusReport> reports,
            Map<URI, String> unreachable) {
        if (!visited.add(entry)) {
            return;
        }
        client.getFrom(entry, STATUS_PATH, StatusReport.class).fold(report -> reports.put(entry, report), error -> {
            unreachable.put(entry, error.message());
            return null;
        });
    }

    private static URI operatorListener(Member member) {
        return URI.create("http://" + member.address() + ":" + member.operatorPort());
    }
}
