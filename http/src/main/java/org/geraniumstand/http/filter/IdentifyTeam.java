package org.geraniumstand.http.filter;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;

/** Finds the team that a bearer token belongs to. */
@Decision(name = "identify-team", summary = "A request without the bearer token of a team is refused.")
public final class IdentifyTeam implements Filter {
    @Override
    public Result<Admission, Refusal> apply(Admission admission) {
        return admission
                .request()
                .bearerToken()
                .map(IdentifyTeam::sha256)
                .flatMap(hash -> admission.configuration().teams().stream()
                        .filter(team -> team.tokenSha256().equals(hash))
                        .findFirst())
                .<Result<Admission, Refusal>>map(team -> Result.ok(admission.withTeam(team)))
                .orElseGet(() -> Result.err(Refusal.notRun(RefusalReason.UNKNOWN_TEAM, 0)));
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
