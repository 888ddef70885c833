package dewwing.protocol

import dewwing.control.core.intent.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SettingsTest {
    private val validJson =
        """
        {"node_name":"n0","serve_on":"10.0.0.1:80","peer_listen":"10.0.0.1:81","unknown":[1],
         "siblings":[{"node_name":"n1","endpoint":"10.0.0.2:81"}],
         "endpoints":{"cloud":"10.0.1.1:1","state":"10.0.1.2:2"},
         "facts":{"teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":4.0,"gpus_max":8.0}],
          "objectives":[{"kind":"wait","class":"c","within_s":12.0,"share":0.75},{"kind":"other","class":"c"}],
          "workers":{"report_s":2.0,"lease_s":10.0,"gang_wait_s":50.0,"gang_peer_s":6.0,"cancel_s":30.0},
          "state":{"rps":200.0,"write_rps":25.0,"value_kb":8.0,"txn_ops":8},
          "cloud":{"rps":4.0,"list_lag_s":10.0},"machine_limits":{"sockets":1200}}}
        """.trimIndent()

    @Test
    fun `a valid file is read, unknown fields and objectives are ignored, and a limit of 0 means no limit`() {
        val settings = Settings.parse(validJson)
        assertEquals(Endpoint("10.0.0.1", 80), settings.httpListen)
        assertEquals(1, settings.objectives.size)
        assertNull(settings.teams[0].coresMax)
        assertEquals(8.0, settings.teams[0].acceleratorsMax)
        assertEquals(Duration(10_000), settings.workers.leaseDuration)
        assertEquals(8192, settings.stateLimits.valueBytes)
    }

    @Test
    fun `objectives for starts, finishes, deadlines and guarantees are read, each with its own fields`() {
        val objectives =
            """
            [{"kind":"wait","class":"c","within_s":12.0,"share":0.75},{"kind":"finished","class":"c","within_s":80.0,"share":0.8},
             {"kind":"deadline","class":"d","share":0.98,"times":1.5},{"kind":"deadline","class":"d","share":0.9},
             {"kind":"guarantee","within_s":5.0,"share":0.8}]
            """.trimIndent()

        fun parse(list: String) = Settings.parse(validJson.replace(Regex("\"objectives\":\\[.*]"), "\"objectives\":" + list)).objectives
        assertEquals(
            listOf(
                Objective.Start("c", 12.0),
                Objective.Finish("c", 80.0),
                Objective.Deadline("d", 1.5),
                Objective.Deadline("d", 1.0),
                Objective.GuaranteedStart(5.0),
            ),
            parse(objectives),
        )
        for (invalid in listOf(
            objectives.replace("1.5", "0"),
            objectives.replace("5.0,\"share\":0.8", "5.0"),
            objectives.replace("12.0", "-1"),
        )) {
            assertThrows(InvalidSettingsException::class.java) { parse(invalid) }
        }
    }

    /** Guards against comparisons that the state service refuses for their size, so that no task is launched any more. */
    @Test
    fun `a transaction with the maximum number of conditions is within the size limit for any settings`() {
        val settings = Settings.parse(validJson.replace("\"txn_ops\":8", "\"txn_ops\":100000"))
        val longestId = JobRef("job-" + "9".repeat(60))
        val conditions = List(settings.stateLimits.maxConditions) { Keys.job(longestId) to Revision(Long.MAX_VALUE) }
        assertTrue(Pack.jsonSize(Wire.compareBody(conditions)) <= Wire.MAX_BODY_BYTES)
        assertEquals(32, Settings.parse(validJson).stateLimits.maxConditions)
    }

    @Test
    fun `an invalid file is refused, and the error names the field`() {
        val cases =
            mapOf(
                "node_name" to validJson.replace("\"n0\"", "7"),
                "serve_on" to validJson.replace("10.0.0.1:80\"", "10.0.0.1\""),
                "facts.workers.lease_s" to validJson.replace("\"lease_s\":10.0", "\"lease_s\":-1"),
                "facts.workers.cancel_s" to validJson.replace("\"cancel_s\":30.0", "\"cancel\":30.0"),
                "facts.state.txn_ops" to validJson.replace("\"txn_ops\":8", "\"txn_ops\":\"8\""),
                "endpoints.state" to validJson.replace("10.0.1.2:2", "10.0.1.2:99999"),
                "facts.teams[0].gpus_max" to validJson.replace("\"gpus_max\":8.0", "\"gpus_max\":-8.0"),
                "siblings" to validJson.replace("\"siblings\":[{", "\"sibling\":[{"),
            )
        for ((field, text) in cases) {
            val exception = assertThrows(InvalidSettingsException::class.java) { Settings.parse(text) }
            assertTrue(exception.message.orEmpty().contains(field), "$field: ${exception.message}")
        }
        assertThrows(InvalidSettingsException::class.java) { Settings.parse("{") }
        assertThrows(InvalidSettingsException::class.java) { Settings.parse("[]") }
    }
}
