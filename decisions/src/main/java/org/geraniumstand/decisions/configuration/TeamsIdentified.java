package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.regex.Pattern;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.Team;

/** Requires each team to have a token of its own and a share. */
@Decision(
        name = "teams-identified",
        summary = "Each team has the hash of a bearer token of its own and a weight above zero.")
public final class TeamsIdentified implements ConfigurationRule {
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        findings.duplicates(next.teams(), "teams", "tokenSha256", Team::tokenSha256);
        for (int i = 0; i < next.teams().size(); i++) {
            Team team = next.teams().get(i);
            findings.errorIf(
                    !SHA_256.matcher(team.tokenSha256()).matches(),
                    Findings.entry("teams", i, "tokenSha256"),
                    "must be the SHA-256 of the token, 64 lower-case hexadecimal digits");
            findings.errorIf(
                    team.weight() <= 0,
                    Findings.entry("teams", i, "weight"),
                    "must be above zero, is " + team.weight());
        }
        return findings.list();
    }
}
