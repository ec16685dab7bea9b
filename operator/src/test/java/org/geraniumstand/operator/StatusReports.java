package org.geraniumstand.operator;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.status.DataCentreStatus;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.status.StatusReport;
import org.geraniumstand.model.status.TeamStatus;

/** Creates status reports for tests. */
final class StatusReports {
    private static final DataCentreId WEST = new DataCentreId("west-1");

    private StatusReports() {}

    static StatusReport report(String process, int port, long generation) {
        return new StatusReport(
                new ProcessId(process),
                WEST,
                true,
                false,
                generation,
                "peak",
                "reachable",
                2,
                List.of(member(process, port, generation)),
                List.of(),
                List.of(),
                List.of(new DataCentreStatus(WEST, true, 3, 4)),
                List.of(new TeamStatus(new TeamId("counter"), 3, 4, 50, 6)));
    }

    static MemberStatus member(String process, int port, long generation) {
        Member member = new Member(new ProcessId(process), WEST, "127.0.0.1", 1, 2, port, 1, false);
        return new MemberStatus(member, generation, 70);
    }
}
