package org.geraniumstand.peer.codec;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StoreUpdate} messages. */
final class StoreUpdateCodec implements MessageCodec<PeerMessage.StoreUpdate> {
    /**
     * Value of a field in which earlier builds at this protocol level report whether the sender assumes a store outage.
     */
    private static final boolean RESERVED = false;

    @Override
    public int number() {
        return 23;
    }

    @Override
    public Class<PeerMessage.StoreUpdate> type() {
        return PeerMessage.StoreUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StoreUpdate message) {
        out.fields(6)
                .number(message.afterRevision().number())
                .number(message.throughRevision().number())
                .flag(RESERVED)
                .flag(message.incomplete())
                .list(message.changes(), StoreUpdateCodec::writeChange)
                // Earlier builds send no era, which reads as zero.
                .number(message.throughRevision().era() - StoreRevision.UNKNOWN_ERA);
    }

    @Override
    public PeerMessage.StoreUpdate read(FieldReader in) {
        long since = in.number();
        long at = in.number();
        in.flag();
        boolean incomplete = in.flag();
        List<UnplacedChange> changes = in.list(StoreUpdateCodec::readChange);
        long era = in.number() + StoreRevision.UNKNOWN_ERA;
        return new PeerMessage.StoreUpdate(
                new StoreRevision(era, since),
                new StoreRevision(era, at),
                incomplete,
                changes.stream().map(change -> change.inEra(era)).toList());
    }

    private static void writeChange(FieldWriter out, Change change) {
        out.fields(4)
                .text(change.key())
                .flag(change.value().isPresent())
                .text(change.value().orElse(""))
                .number(change.revision().number());
    }

    private static UnplacedChange readChange(FieldReader in) {
        String key = in.text();
        boolean present = in.flag();
        String value = in.text();
        return new UnplacedChange(key, present ? Optional.of(value) : Optional.empty(), in.number());
    }

    /** A change whose era has not been read yet. */
    private record UnplacedChange(String key, Optional<String> value, long number) {
        Change inEra(long era) {
            return new Change(key, value, new StoreRevision(era, number));
        }
    }
}
