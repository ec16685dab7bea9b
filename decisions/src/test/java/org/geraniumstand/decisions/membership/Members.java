package org.geraniumstand.decisions.membership;

import java.util.List;
import java.util.stream.IntStream;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Creates members for tests. */
final class Members {
    private Members() {}

    static Member of(String name) {
        return new Member(new ProcessId(name), new DataCentreId("dc-1"), "127.0.0.1", 1, 2, 3, 1, false);
    }

    static List<Member> many(int count) {
        return IntStream.range(0, count).mapToObj(i -> of("process-" + i)).toList();
    }
}
