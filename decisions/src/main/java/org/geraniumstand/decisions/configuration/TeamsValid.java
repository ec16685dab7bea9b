package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.regex.Pattern;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.Team;

/** Requires each team to have a unique bearer token and a positive weight. */
@Decision(
        name = "teams-identified",
        summary = "Each team must have the SHA-256 hash of a unique bearer token and a weight greater than 0.")
public final class TeamsValid implements ConfigurationRule {
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.errorIfDuplicate(next.teams(), "teams", "tokenSha256", Team::tokenSha256);
        for (int i = 0; i < next.teams().size(); i++) {
            Team team = next.teams().get(i);
            findings.errorIf(
                    !SHA_256.matcher(team.tokenSha256()).matches(),
                    Findings.fieldPath("teams", i, "tokenSha256"),
                    "must be the SHA-256 hash of the token, as 64 lower-case hexadecimal digits");
            findings.errorIf(
                    team.weight() <= 0,
                    Findings.fieldPath("teams", i, "weight"),
                    "must be greater than 0, but is " + team.weight());
        }
        return findings.toList();
    }
}
