package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.CrashReport;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.relay.SoundPart;

/** Encodes and decodes {@link CrashEvidence} as trailing fields of a message. */
final class CrashEvidenceFields {
    /** Number of fields. */
    static final int COUNT = 5;

    private CrashEvidenceFields() {}

    static void write(FieldWriter out, CrashEvidence evidence) {
        out.list(evidence.crashes(), CrashEvidenceFields::writeCrash)
                .list(evidence.suspects(), CrashEvidenceFields::writePart)
                .list(evidence.soundParts(), CrashEvidenceFields::writeSoundPart)
                .list(evidence.quarantined(), CrashEvidenceFields::writeQuarantined)
                .number(evidence.answered());
    }

    static CrashEvidence read(FieldReader in) {
        return new CrashEvidence(
                in.list(CrashEvidenceFields::readCrash),
                in.list(CrashEvidenceFields::readPart),
                in.list(CrashEvidenceFields::readSoundPart),
                in.list(CrashEvidenceFields::readQuarantined),
                in.number());
    }

    private static void writeCrash(FieldWriter out, CrashReport crash) {
        out.fields(4)
                .text(crash.server().value())
                .number(crash.request())
                .list(crash.parts(), CrashEvidenceFields::writePart)
                .number(crash.ageMillis());
    }

    private static CrashReport readCrash(FieldReader in) {
        return new CrashReport(
                new ServerId(in.text()), in.number(), in.list(CrashEvidenceFields::readPart), in.number());
    }

    private static void writePart(FieldWriter out, ServicePart part) {
        out.fields(2).text(part.service().value()).number(part.part());
    }

    private static ServicePart readPart(FieldReader in) {
        return new ServicePart(new ServiceId(in.text()), in.number());
    }

    private static void writeSoundPart(FieldWriter out, SoundPart sound) {
        out.fields(3)
                .text(sound.part().service().value())
                .number(sound.part().part())
                .number(sound.ageMillis());
    }

    private static SoundPart readSoundPart(FieldReader in) {
        return new SoundPart(readPart(in), in.number());
    }

    private static void writeQuarantined(FieldWriter out, QuarantinedPrompt prompt) {
        out.fields(4)
                .list(prompt.parts(), CrashEvidenceFields::writePart)
                .number(prompt.crashAgeMillis())
                .number(prompt.trialInMillis())
                .number(prompt.trials());
    }

    private static QuarantinedPrompt readQuarantined(FieldReader in) {
        return new QuarantinedPrompt(
                in.list(CrashEvidenceFields::readPart), in.number(), in.number(), in.smallNumber());
    }
}
