package org.geraniumstand.peer.codec;

import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.FleetUpdate} messages. */
final class FleetUpdateCodec implements MessageCodec<PeerMessage.FleetUpdate> {
    @Override
    public int number() {
        return 17;
    }

    @Override
    public Class<PeerMessage.FleetUpdate> type() {
        return PeerMessage.FleetUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.FleetUpdate message) {
        FleetChange change = message.change();
        out.fields(3)
                .list(change.servers(), FleetUpdateCodec::writeServer)
                .list(change.removed(), (item, id) -> item.fields(1).text(id.value()))
                .list(change.notices(), FleetUpdateCodec::writeNotice);
    }

    @Override
    public PeerMessage.FleetUpdate read(FieldReader in) {
        return new PeerMessage.FleetUpdate(new FleetChange(
                in.list(FleetUpdateCodec::readServer),
                in.list(item -> new ServerId(item.text())),
                in.list(item -> new ReclaimNotice(new HostId(item.text()), item.number()))));
    }

    private static void writeNotice(FieldWriter out, ReclaimNotice notice) {
        out.fields(2).text(notice.host().value()).number(notice.dueEpochMillis());
    }

    private static void writeServer(FieldWriter out, BackendServer server) {
        out.fields(11)
                .text(server.id().value())
                .text(server.service().value())
                .text(server.version().value())
                .text(server.dataCentre().value())
                .text(server.host().value())
                .text(server.hostClass())
                .flag(server.reclaimable())
                .number(server.centsPerHour())
                .text(server.address())
                .number(server.port())
                .flag(server.leaving());
    }

    private static BackendServer readServer(FieldReader in) {
        return new BackendServer(
                new ServerId(in.text()),
                new ServiceId(in.text()),
                new VersionId(in.text()),
                new DataCentreId(in.text()),
                new HostId(in.text()),
                in.text(),
                in.flag(),
                in.smallNumber(),
                in.text(),
                in.smallNumber(),
                in.flag());
    }
}
