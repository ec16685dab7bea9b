package org.geraniumstand.peer.codec;

import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaGrant;
import org.geraniumstand.model.relay.QuotaHolding;
import org.geraniumstand.model.relay.QuotaRequest;

/** Encodes and decodes requests for units of quotas and their answers as fields at the end of a message. */
final class QuotaFields {
    /** Number of fields of a request. */
    static final int REQUEST_COUNT = 6;

    /** Number of fields of an answer. */
    static final int ANSWER_COUNT = 5;

    private QuotaFields() {}

    static void writeRequest(FieldWriter out, QuotaRequest request) {
        out.number(request.number())
                .number(request.acknowledged())
                .list(request.holdings(), QuotaFields::writeHolding)
                .list(request.told(), QuotaUsageReportCodec::writeTeamLevel)
                .number(request.toldAgeMillis())
                .flag(request.leaving());
    }

    static QuotaRequest readRequest(FieldReader in) {
        return new QuotaRequest(
                in.number(),
                in.number(),
                in.list(QuotaFields::readHolding),
                in.list(QuotaUsageReportCodec::readTeamLevel),
                in.number(),
                in.flag());
    }

    static void writeAnswer(FieldWriter out, QuotaAnswer answer) {
        out.number(answer.number())
                .flag(answer.settled())
                .list(answer.levels(), QuotaUsageReportCodec::writeTeamLevel)
                .list(answer.grants(), QuotaFields::writeGrant)
                .number(answer.totalUnits());
    }

    static QuotaAnswer readAnswer(FieldReader in) {
        return new QuotaAnswer(
                in.number(),
                in.flag(),
                in.list(QuotaUsageReportCodec::readTeamLevel),
                in.list(QuotaFields::readGrant),
                in.number());
    }

    private static void writeHolding(FieldWriter out, QuotaHolding holding) {
        out.fields(5)
                .text(holding.team().value())
                .number(holding.held())
                .number(holding.typicalCost())
                .number(holding.askedUnits())
                .number(holding.askedRequests());
    }

    private static QuotaHolding readHolding(FieldReader in) {
        return new QuotaHolding(new TeamId(in.text()), in.number(), in.number(), in.number(), in.smallNumber());
    }

    private static void writeGrant(FieldWriter out, QuotaGrant grant) {
        out.fields(4)
                .text(grant.team().value())
                .number(grant.units())
                .number(grant.maxHeld())
                .number(grant.waitMillis());
    }

    private static QuotaGrant readGrant(FieldReader in) {
        return new QuotaGrant(new TeamId(in.text()), in.number(), in.number(), in.number());
    }
}
