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
 * Finds the team that a bearer token belongs to.
 *
 * <p>Tokens are looked up by their digest, so the time that a look-up takes says nothing about a token.
 */
@Decision(name = "identify-team", summary = "A request without the bearer token of a team is refused.")
public final class IdentifyTeam implements Filter {
    private volatile Directory directory = new Directory(Optional.empty(), Map.of());

    /** The teams of a configuration by the digest of their tokens. */
    private record Directory(Optional<Configuration> configuration, Map<String, Team> teams) {
        private static Directory of(Configuration configuration) {
            Map<String, Team> teams = new HashMap<>();
            configuration.teams().forEach(team -> teams.putIfAbsent(team.tokenSha256(), team));
            return new Directory(Optional.of(configuration), teams);
        }
    }

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        Optional<String> token = admission.request().bearerToken();
        if (token.isEmpty()) {
            return Result.err(Rejection.of(RefusalReason.UNKNOWN_TEAM, "no bearer token was given"));
        }
        Team team = teams(admission.configuration()).get(sha256(token.get()));
        return team == null
                ? Result.err(Rejection.of(RefusalReason.UNKNOWN_TEAM, "the bearer token names no team"))
                : Result.ok(admission.withTeam(team));
    }

    // Compared by identity, as comparing whole documents for each request would cost more than the look-up.
    @SuppressWarnings("ReferenceEquality")
    private Map<String, Team> teams(Configuration configuration) {
        Directory current = directory;
        if (current.configuration().orElse(null) != configuration) {
            current = Directory.of(configuration);
            directory = current;
        }
        return current.teams();
    }

    private static String sha256(String token) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
