package org.geraniumstand.decisions.relay;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.VersionId;

/** Excludes servers of an unproven version while their service is ordered to move to it. */
@Decision(
        name = "version-hold",
        summary = "Servers of the version that a service is ordered to move to receive no work while "
                + "servers of another version accept it, because the new version is unproven.")
final class UnprovenVersionFilter {
    private UnprovenVersionFilter() {}

    /**
     * Returns the servers that receive work.
     *
     * @param servers servers of one service that accept work
     * @param target the version that the service is ordered to move to
     */
    static List<ServerView> withoutUnproven(List<ServerView> servers, VersionId target) {
        List<ServerView> proven = servers.stream()
                .filter(view -> !view.server().version().equals(target))
                .toList();
        return proven.isEmpty() ? servers : proven;
    }
}
