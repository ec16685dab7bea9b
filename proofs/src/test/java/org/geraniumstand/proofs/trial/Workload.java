package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Callers of a trial: conversations with the model engines, and orders.
 *
 * <p>A conversation starts with its team's own instructions and grows with each turn; a person reads the answer before
 * the next turn comes.
 */
public final class Workload {
    /** Tokens of a prefix block. */
    public static final int BLOCK_TOKENS = 256;

    /** When the first requests come, as processes are ready only when they know the backend servers. */
    public static final double READY_MILLIS = 5_000;

    private static final int INSTRUCTION_BLOCKS = 3;
    private static final int FIRST_BLOCKS = 3;
    private static final int MOST_TURN_BLOCKS = 2;
    private static final int LEAST_ANSWER_TOKENS = 40;
    private static final int ANSWER_SPREAD_TOKENS = 120;
    private static final double READ_MILLIS = 4_000;
    private static final double LAST_TURN = 0.2;
    private static final double MODEL_TIMEOUT_MILLIS = 30_000;
    private static final double ORDER_TIMEOUT_MILLIS = 10_000;
    private static final double NOTES_SHARE = 0.2;

    private final TrialWorld world;
    private final Random random;
    private final double[] teamShares;
    private final double untilMillis;
    private long nextBlock = 1;

    private Workload(TrialWorld world, double[] teamShares, double untilMillis) {
        this.world = world;
        this.random = new Random(world.random().nextLong());
        this.teamShares = teamShares.clone();
        this.untilMillis = untilMillis;
    }

    /**
     * Starts the callers.
     *
     * @param world the trial
     * @param teamShares conversations that each team starts a second
     * @param ordersEachSecond orders a second
     * @param untilMillis when the last request is sent, in milliseconds since the start
     */
    public static Workload start(TrialWorld world, double[] teamShares, double ordersEachSecond, double untilMillis) {
        Workload workload = new Workload(world, teamShares, untilMillis);
        world.clock().at(READY_MILLIS, () -> {
            for (int team = 0; team < teamShares.length; team++) {
                workload.startTeam(team, 0);
            }
            if (ordersEachSecond > 0) {
                workload.order(ordersEachSecond);
            }
        });
        return workload;
    }

    /**
     * Lets a team start more conversations from a time on.
     *
     * @param team its number
     * @param eachSecond conversations a second besides those that it starts already
     * @param fromMillis from when on, in milliseconds since the start
     */
    public void more(int team, double eachSecond, double fromMillis) {
        world.clock().at(fromMillis, () -> startTeam(team, eachSecond));
    }

    private void startTeam(int team, double override) {
        double rate = override > 0 ? override : teamShares[team];
        if (rate <= 0) {
            return;
        }
        double wait = -Math.log(1 - random.nextDouble()) / rate * 1_000;
        world.clock().after(wait, () -> {
            if (world.clock().millis() < untilMillis) {
                turn(team, conversation(team), true);
                startTeam(team, override);
            }
        });
    }

    private List<Long> conversation(int team) {
        List<Long> blocks = new ArrayList<>();
        for (int i = 0; i < INSTRUCTION_BLOCKS; i++) {
            blocks.add(-1L - team * 100L - i);
        }
        for (int i = 0; i < FIRST_BLOCKS; i++) {
            blocks.add(nextBlock++);
        }
        return blocks;
    }

    private void turn(int team, List<Long> blocks, boolean first) {
        if (world.clock().millis() >= untilMillis) {
            return;
        }
        int answer = LEAST_ANSWER_TOKENS + random.nextInt(ANSWER_SPREAD_TOKENS);
        RouteId route = random.nextDouble() < NOTES_SHARE ? Deployments.NOTES : Deployments.CHAT;
        RequestInfo facts = facts(team, Deployments.MODEL, route, true, blocks, LEAST_ANSWER_TOKENS + 60);
        Call call = world.send(facts, MODEL_TIMEOUT_MILLIS, answer);
        if (!first && random.nextDouble() < LAST_TURN) {
            return;
        }
        double reads = READ_MILLIS + random.nextDouble() * READ_MILLIS;
        world.clock().after(reads, () -> next(team, blocks, call));
    }

    private void next(int team, List<Long> blocks, Call call) {
        if (call.answered()) {
            List<Long> longer = new ArrayList<>(blocks);
            int more = 1 + random.nextInt(MOST_TURN_BLOCKS);
            for (int i = 0; i < more; i++) {
                longer.add(nextBlock++);
            }
            turn(team, longer, false);
        } else if (!call.ended()) {
            world.clock().after(READ_MILLIS, () -> next(team, blocks, call));
        }
    }

    private void order(double eachSecond) {
        double wait = -Math.log(1 - random.nextDouble()) / eachSecond * 1_000;
        world.clock().after(wait, () -> {
            if (world.clock().millis() < untilMillis) {
                int team = random.nextInt(teamShares.length);
                world.send(
                        facts(team, Deployments.ORDERS, Deployments.ORDER, false, List.of(), 0),
                        ORDER_TIMEOUT_MILLIS,
                        1);
                order(eachSecond);
            }
        });
    }

    private static RequestInfo facts(
            int team, ServiceId service, RouteId route, boolean idempotent, List<Long> blocks, int answer) {
        return new RequestInfo(
                new RequestId("template"),
                Deployments.team(team),
                service,
                route,
                idempotent,
                !blocks.isEmpty(),
                Priority.INTERACTIVE,
                0,
                blocks.size() * BLOCK_TOKENS,
                answer,
                blocks);
    }
}
