package org.geraniumstand.entry.task;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.support.json.JsonTree;
import org.geraniumstand.support.net.IpAddresses;

/** Converts a member to and from the JSON text that is kept in the store, in the same form as the object mapper writes. */
public final class MemberDocument {
    private static final int MAX_PORT = 65_535;
    private static final String ID = "id";
    private static final String DATA_CENTRE = "dataCentre";
    private static final String ADDRESS = "address";
    private static final String CALLER_PORT = "callerPort";
    private static final String PEER_PORT = "peerPort";
    private static final String OPERATOR_PORT = "operatorPort";
    private static final String LEVEL = "level";
    private static final String STOPPING = "stopping";

    private MemberDocument() {}

    /**
     * Returns the text of a member.
     *
     * @param member the member to write
     */
    public static String write(Member member) {
        return JsonTree.write(JsonTree.object()
                .put(ID, member.id().value())
                .put(DATA_CENTRE, member.dataCentre().value())
                .put(ADDRESS, member.address())
                .put(CALLER_PORT, member.callerPort())
                .put(PEER_PORT, member.peerPort())
                .put(OPERATOR_PORT, member.operatorPort())
                .put(LEVEL, member.level())
                .put(STOPPING, member.stopping()));
    }

    /**
     * Parses a member.
     *
     * @param text the text of the entry
     * @throws IOException if a text field is missing, the address is not the IPv4 address of a host or a number is out of range
     */
    public static Member read(String text) throws IOException {
        JsonNode node = JsonTree.read(text);
        return new Member(
                new ProcessId(text(node, ID)),
                new DataCentreId(text(node, DATA_CENTRE)),
                address(node),
                port(node, CALLER_PORT),
                port(node, PEER_PORT),
                port(node, OPERATOR_PORT),
                number(node, LEVEL),
                node.path(STOPPING).asBoolean());
    }

    private static String text(JsonNode node, String name) throws IOException {
        String text = node.path(name).asText();
        if (text.isEmpty()) {
            throw new IOException(name + " is missing");
        }
        return text;
    }

    private static String address(JsonNode node) throws IOException {
        String address = text(node, ADDRESS);
        if (!IpAddresses.isUnicastIpv4(address)) {
            throw new IOException(ADDRESS + " is not the IPv4 address of a host");
        }
        return address;
    }

    private static int port(JsonNode node, String name) throws IOException {
        int port = number(node, name);
        if (port < 0 || port > MAX_PORT) {
            throw new IOException(name + " is out of range");
        }
        return port;
    }

    private static int number(JsonNode node, String name) throws IOException {
        if (!node.path(name).canConvertToInt()) {
            throw new IOException(name + " is not an integer");
        }
        return node.path(name).intValue();
    }
}
