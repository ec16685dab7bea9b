package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;

/** Requires the limits and latency targets of services, presets and pools to be within their valid ranges. */
@Decision(
        name = "limits-positive",
        summary = "Limits and targets of services, presets and pools must be within their valid ranges.")
public final class LimitsInRange implements ConfigurationRule {
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
            requireAtLeast(findings, Findings.fieldPath("pools", i, "centsPerHour"), pool.centsPerHour(), 0);
        }
        return findings.toList();
    }

    private static void check(Findings findings, int index, Service service) {
        requireAtLeast(
                findings, Findings.fieldPath("services", index, "coldConcurrency"), service.coldConcurrency(), 1);
        requireAtLeast(
                findings,
                Findings.fieldPath("services", index, "maxConcurrency"),
                service.maxConcurrency(),
                Math.max(1, service.coldConcurrency()));
        requireAtLeast(findings, Findings.fieldPath("services", index, "silenceMillis"), service.silenceMillis(), 1);
    }

    private static void check(Findings findings, int index, Preset preset) {
        requireAtLeast(
                findings, Findings.fieldPath("presets", index, "firstTokenMillis"), preset.firstTokenMillis(), 1);
        requireAtLeast(
                findings, Findings.fieldPath("presets", index, "betweenTokensMillis"), preset.betweenTokensMillis(), 1);
        requireAtLeast(findings, Findings.fieldPath("presets", index, "onDemandFloor"), preset.onDemandFloor(), 0);
        requireAtLeast(findings, Findings.fieldPath("presets", index, "spareServers"), preset.spareServers(), 0);
        findings.errorIf(
                preset.retryPercent() < 0 || preset.retryPercent() > MAX_PERCENT,
                Findings.fieldPath("presets", index, "retryPercent"),
                "must be between 0 and " + MAX_PERCENT + ", but is " + preset.retryPercent());
    }

    private static void requireAtLeast(Findings findings, String path, int value, int min) {
        findings.errorIf(value < min, path, "must be at least " + min + ", but is " + value);
    }
}
