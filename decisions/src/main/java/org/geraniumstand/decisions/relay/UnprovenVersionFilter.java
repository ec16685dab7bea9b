package org.geraniumstand.decisions.relay;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.VersionId;

/** Decides which servers of a service take work while it is ordered to move to another version. */
@Decision(
        name = "version-hold",
        summary =
                "Servers of a version that a service is ordered to move to take no work while servers of another version do,"
                        + " as the version is not proven.")
final class UnprovenVersionFilter {
    private UnprovenVersionFilter() {}

    /**
     * Returns the servers that take work.
     *
     * @param servers servers of one service that may take work
     * @param target the version that it is ordered to move to
     */
    static List<ServerView> withoutUnproven(List<ServerView> servers, VersionId target) {
        List<ServerView> proven = servers.stream()
                .filter(view -> !view.server().version().equals(target))
                .toList();
        return proven.isEmpty() ? servers : proven;
    }
}
