package org.geraniumstand.model.relay;

import java.util.List;

/**
 * Holds what a process reports about prompt parts that may crash servers.
 *
 * @param crashes requests whose answers broke off shortly after they began
 * @param suspects parts of such requests that are not known to be sound
 * @param soundParts suspected parts with which servers have answered requests since
 * @param quarantined prompts that are kept from servers
 * @param answered number of requests that servers have answered recently
 */
public record CrashEvidence(
        List<CrashReport> crashes,
        List<ServicePart> suspects,
        List<SoundPart> soundParts,
        List<QuarantinedPrompt> quarantined,
        long answered) {
    /** Evidence without any content. */
    public static final CrashEvidence NONE = new CrashEvidence(List.of(), List.of(), List.of(), List.of(), 0);

    /** Copies the lists. */
    public CrashEvidence {
        crashes = List.copyOf(crashes);
        suspects = List.copyOf(suspects);
        soundParts = List.copyOf(soundParts);
        quarantined = List.copyOf(quarantined);
    }
}
