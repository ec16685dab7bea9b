package org.geraniumstand.peer.codec;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.PeerMessage;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages between entry processes: the number of the type, then the record. */
public final class MessageCodecs {
    /** Largest encoded message: a value of the store may have a megabyte, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final List<MessageCodec<?>> ALL = List.of(
            new HeartbeatCodec(),
            new ConfigurationAskCodec(),
            new ConfigurationOfferCodec(),
            new EvidenceShareCodec(),
            new BadMarkShareCodec(),
            new GrantShareCodec(),
            new DemandShareCodec(),
            new StreamHandoverCodec(),
            new StreamTakenCodec(),
            new MemberShareCodec(),
            new ConfirmationShareCodec(),
            new RelayedCodec(),
            new ClaimForwardCodec(),
            new ClaimReplyCodec(),
            new StreamAskCodec(),
            new StreamHeldCodec(),
            new FleetNewsCodec(),
            new TeamUseShareCodec(),
            new PlanShareCodec(),
            new OthersUseCodec(),
            new PlanNewsCodec(),
            new PlanAskCodec(),
            new StoreNewsCodec(),
            new UsageShareCodec(),
            new UsageHeardCodec());
    private static final Map<Integer, MessageCodec<?>> BY_NUMBER =
            ALL.stream().collect(Collectors.toMap(MessageCodec::number, Function.identity()));
    private static final Map<Class<?>, MessageCodec<?>> BY_TYPE =
            ALL.stream().collect(Collectors.toMap(MessageCodec::type, Function.identity()));

    private MessageCodecs() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     */
    public static byte[] encode(PeerMessage message) {
        MessageCodec<?> codec = BY_TYPE.get(message.getClass());
        FieldWriter out = new FieldWriter();
        out.number(codec.number());
        write(codec, out, message);
        return out.toBytes();
    }

    /**
     * Decodes a message.
     *
     * @param bytes what {@link #encode} returned, at this or another protocol level
     * @return the message, nothing for a type that this level does not know, or why the bytes are no message
     */
    public static Result<Optional<PeerMessage>, String> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            MessageCodec<?> codec = BY_NUMBER.get(unpacker.unpackInt());
            if (codec == null) {
                return Result.ok(Optional.empty());
            }
            return Result.ok(Optional.of(FieldReader.read(unpacker, codec::read)));
        } catch (MessagePackException | IOException _e) {
            return Result.err("the bytes are no MessagePack of the expected shape");
        } catch (MalformedMessageException | IllegalArgumentException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }

    private static <M extends PeerMessage> void write(MessageCodec<M> codec, FieldWriter out, PeerMessage message) {
        codec.write(out, codec.type().cast(message));
    }
}
