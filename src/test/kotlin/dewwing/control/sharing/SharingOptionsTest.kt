package dewwing.control.sharing

import dewwing.control.core.sharing.PlannerPolicy
import dewwing.protocol.Duration
import dewwing.protocol.Settings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** The validation error of an invalid sharding option names its command-line option. */
class SharingOptionsTest {
    private val settings =
        Settings.parse(
            """{"node_name":"a","site":"z","serve_on":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
            "siblings":[{"node_name":"b","site":"z","endpoint":"127.0.0.1:3"},{"node_name":"c","site":"z","endpoint":"127.0.0.1:4"}],
            "endpoints":{"cloud":"127.0.0.1:5","state":"127.0.0.1:6"},
            "facts":{"initial_size":0,"zones":["a"],"teams":[],"objectives":[],
            "workers":{"report_s":2,"lease_s":10,"gang_wait_s":30,"gang_peer_s":6,"cancel_s":30},
            "state":{"rps":200,"write_rps":20,"value_kb":4,"txn_ops":8},"cloud":{"rps":4,"list_lag_s":3},
            "machine_limits":{"core_share":0.2,"memory_mb":200,"sockets":1000},"time_bound_ms":25}}""",
        )

    @Test
    fun `the error for an invalid option names the command-line option`() {
        assertNull(SharingOptions(3).validationError(settings))
        assertNull(SharingOptions(100).validationError(settings))
        assertEquals("--shards must be at least 3, the number of controllers", SharingOptions(2).validationError(settings))
        assertEquals("--shards must be at most 100", SharingOptions(101).validationError(settings))
        assertEquals(
            "--shard-settle must be at most half of workers.lease_s",
            SharingOptions(6, startConfirmTimeout = Duration(5_001)).validationError(settings),
        )
        assertEquals(
            "--shard-move-deadline must be longer than --shard-settle",
            SharingOptions(6, PlannerPolicy(moveDeadline = Duration(3_000)), Duration(3_000)).validationError(settings),
        )
    }
}
