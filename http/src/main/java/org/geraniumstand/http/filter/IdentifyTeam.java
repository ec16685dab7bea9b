package org.geraniumstand.http.filter;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;

/**
 * Identifies the team to which the bearer token of a request belongs.
 *
 * <p>Tokens are looked up by their digest, so that the duration of a lookup reveals nothing about a token.
 */
@Decision(name = "identify-team", summary = "Rejects requests without the bearer token of a team.")
public final class IdentifyTeam implements Filter {
    private volatile TeamIndex index = new TeamIndex(Optional.empty(), Map.of());

    /** Maps the digests of the tokens in a configuration to their teams. */
    private record TeamIndex(Optional<Configuration> configuration, Map<String, Team> teams) {
        private static TeamIndex of(Configuration configuration) {
            Map<String, Team> teams = new HashMap<>();
            configuration.teams().forEach(team -> teams.putIfAbsent(team.tokenSha256(), team));
            return new TeamIndex(Optional.of(configuration), teams);
        }
    }

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        Optional<String> token = admission.request().bearerToken();
        if (token.isEmpty()) {
            return Result.err(Rejection.of(RefusalReason.UNKNOWN_TEAM, "the request has no bearer token"));
        }
        Team team = teams(admission.configuration()).get(sha256(token.get()));
        return team == null
                ? Result.err(Rejection.of(RefusalReason.UNKNOWN_TEAM, "the bearer token names no team"))
                : Result.ok(admission.withTeam(team));
    }

    // Compared by reference, because comparing whole configurations for each request would cost more than the lookup.
    @SuppressWarnings("ReferenceEquality")
    private Map<String, Team> teams(Configuration configuration) {
        TeamIndex current = index;
        if (current.configuration().orElse(null) != configuration) {
            current = TeamIndex.of(configuration);
            index = current;
        }
        return current.teams();
    }

    private static String sha256(String token) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available although every Java platform must provide it", e);
        }
    }
}
