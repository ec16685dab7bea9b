package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.QuotaUnitsRequest} messages. */
final class QuotaUnitsRequestCodec implements MessageCodec<PeerMessage.QuotaUnitsRequest> {
    @Override
    public int number() {
        return 26;
    }

    @Override
    public Class<PeerMessage.QuotaUnitsRequest> type() {
        return PeerMessage.QuotaUnitsRequest.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.QuotaUnitsRequest message) {
        out.fields(1 + QuotaFields.REQUEST_COUNT).list(message.usages(), QuotaUsageReportCodec::writeTeamUsage);
        QuotaFields.writeRequest(out, message.request());
    }

    @Override
    public PeerMessage.QuotaUnitsRequest read(FieldReader in) {
        return new PeerMessage.QuotaUnitsRequest(
                in.list(QuotaUsageReportCodec::readTeamUsage), QuotaFields.readRequest(in));
    }
}
