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

/** Encodes and decodes messages between entry processes as the number of the message type and the record. */
public final class MessageCodecs {
    /** Maximum size of an encoded message in bytes; a message may carry a store value of one megabyte. */
    public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final List<MessageCodec<?>> ALL = List.of(
            new HeartbeatCodec(),
            new ConfigurationRequestCodec(),
            new ConfigurationResponseCodec(),
            new EvidenceUpdateCodec(),
            new BadVersionsUpdateCodec(),
            new GrantUpdateCodec(),
            new DemandReportCodec(),
            new StreamHandoverCodec(),
            new StreamHandoverAckCodec(),
            new MembershipUpdateCodec(),
            new AppliedGenerationsUpdateCodec(),
            new BroadcastEnvelopeCodec(),
            new ClaimForwardCodec(),
            new ClaimReplyCodec(),
            new StreamLookupCodec(),
            new StreamFoundCodec(),
            new FleetUpdateCodec(),
            new QuotaUsageReportCodec(),
            new RelayConfigurationResponseCodec(),
            new AggregateQuotaUsageCodec(),
            new RelayConfigurationVersionCodec(),
            new RelayConfigurationRequestCodec(),
            new StoreUpdateCodec(),
            new RequestCountReportCodec(),
            new RequestCountAckCodec(),
            new QuotaUnitsRequestCodec(),
            new QuotaUnitsAnswerCodec());
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
     * @param bytes result of {@link #encode}, possibly of another protocol level
     * @return the message, an empty value for a message type unknown to this protocol level, or the reason why the
     *     bytes cannot be decoded
     */
    public static Result<Optional<PeerMessage>, String> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            MessageCodec<?> codec = BY_NUMBER.get(unpacker.unpackInt());
            if (codec == null) {
                return Result.ok(Optional.empty());
            }
            return Result.ok(Optional.of(FieldReader.read(unpacker, codec::read)));
        } catch (MessagePackException | IOException _e) {
            return Result.err("bytes are not MessagePack of the expected structure");
        } catch (MalformedMessageException | IllegalArgumentException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }

    private static <M extends PeerMessage> void write(MessageCodec<M> codec, FieldWriter out, PeerMessage message) {
        codec.write(out, codec.type().cast(message));
    }
}
