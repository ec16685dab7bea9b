package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;

/** Requires limits and targets to lie in ranges that can be kept. */
@Decision(name = "limits-positive", summary = "Limits and targets of services, presets and pools must be usable.")
public final class LimitsPositive implements ConfigurationRule {
    private static final int MAX_PERCENT = 100;

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        for (int i = 0; i < next.services().size(); i++) {
            check(findings, i, next.services().get(i));
        }
        for (int i = 0; i < next.presets().size(); i++) {
            check(findings, i, next.presets().get(i));
        }
        for (int i = 0; i < next.pools().size(); i++) {
            HostPool pool = next.pools().get(i);
            atLeast(findings, Findings.entry("pools", i, "centsPerHour"), pool.centsPerHour(), 0);
        }
        return findings.list();
    }

    private static void check(Findings findings, int index, Service service) {
        atLeast(findings, Findings.entry("services", index, "coldConcurrency"), service.coldConcurrency(), 1);
        atLeast(
                findings,
                Findings.entry("services", index, "maxConcurrency"),
                service.maxConcurrency(),
                Math.max(1, service.coldConcurrency()));
        atLeast(findings, Findings.entry("services", index, "silenceMillis"), service.silenceMillis(), 1);
    }

    private static void check(Findings findings, int index, Preset preset) {
        atLeast(findings, Findings.entry("presets", index, "firstTokenMillis"), preset.firstTokenMillis(), 1);
        atLeast(findings, Findings.entry("presets", index, "betweenTokensMillis"), preset.betweenTokensMillis(), 1);
        atLeast(findings, Findings.entry("presets", index, "onDemandFloor"), preset.onDemandFloor(), 0);
        atLeast(findings, Findings.entry("presets", index, "spareServers"), preset.spareServers(), 0);
        findings.errorIf(
                preset.retryPercent() < 0 || preset.retryPercent() > MAX_PERCENT,
                Findings.entry("presets", index, "retryPercent"),
                "must be 0 to " + MAX_PERCENT + ", is " + preset.retryPercent());
    }

    private static void atLeast(Findings findings, String path, int value, int least) {
        findings.errorIf(value < least, path, "must be at least " + least + ", is " + value);
    }
}
