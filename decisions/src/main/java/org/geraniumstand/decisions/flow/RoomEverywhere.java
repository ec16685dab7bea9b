package org.geraniumstand.decisions.flow;

import org.geraniumstand.decisions.routing.Room;
import org.geraniumstand.decisions.routing.ServerState;

/** Acts as if this process had room at each warm server, to see which one it should ask for. */
record RoomEverywhere(Room real) implements Room {
    @Override
    public int spare(ServerState state) {
        return Math.max(1, real.spare(state));
    }

    @Override
    public boolean warm(ServerState state) {
        return real.warm(state);
    }
}
