"""Definition of the command line."""

USAGE = """Distribute configurations of a service mesh.

Usage:
  azurestep node SETTINGS [--debug]
  azurestep sidecar [SETTINGS] [--debug]
  azurestep check FILE... [--json] [--debug]
  azurestep publish FILE [--node URL] [--platform URL] [--operator NAME]
                    [--wait] [--timeout SECONDS] [--json] [--debug]
  azurestep preset NAME [--node URL] [--platform URL] [--operator NAME]
                    [--wait] [--timeout SECONDS] [--json] [--debug]
  azurestep status [--node URL] [--json] [--debug]
  azurestep status (--settings FILE | --metrics ADDRESS) [--json] [--debug]
  azurestep drain [--node URL] [--json] [--debug]
  azurestep audit versions [--at TIME] [--instance NAME] [--platform URL]
                    [--json] [--debug]
  azurestep audit publications [--platform URL] [--json] [--debug]
  azurestep audit drains [--platform URL] [--json] [--debug]
  azurestep audit requests KEY [--service NAME] [--platform URL] [--json]
                    [--debug]
  azurestep audit gaps [--platform URL] [--json] [--debug]
  azurestep explain ID LOG... [--json] [--debug]
  azurestep losses LOG... [--plot FILE] [--json] [--debug]
  azurestep faults LOG... [--json] [--debug]
  azurestep keys [--json]
  azurestep --version
  azurestep --help

Commands:
  node        Run the process beside a backend server.
  sidecar     Run a node on the users' platform, beside a backend server.
  check       Check settings and configurations; name every fault.
  publish     Make a configuration the next version of the fleet.
  preset      Put another preset in force.
  status      Show what a node holds and what it knows of the fleet.
  drain       Stop a node gracefully.
  audit       Show from the platform's log what was in force, where and when.
  explain     Tell from log lines what became of a request, and why.
  losses      Tell from log lines which requests were lost, when, where and why.
  faults      Tell from log lines which faults of the program came, and their causes.
  keys        Make the key pair that authenticates the nodes of a fleet.

Arguments:
  SETTINGS    Settings file of the node, in JSON.
  FILE        Settings or configuration, in JSON.
  NAME        Preset of the configuration in force.
  ID          Id of a request, as its caller sent it.
  LOG         Lines that a node wrote; those of all nodes tell the whole story.
  KEY         Idempotency-Key of a request.

Options:
  --node URL         Operator endpoint of any node.
  --settings FILE    Settings of a node on the users' platform, to ask that node.
  --metrics ADDRESS  Metrics address of such a node, as HOST:PORT.
  --platform URL     Base address of the platform's log.
  --operator NAME    Who publishes; it stands in the audit trail.
  --wait             Wait until the version is in force everywhere.
  --timeout SECONDS  Time after which to give up [default: 30].
  --at TIME          Moment, as 2026-01-31T23:59:59Z or ms since the epoch.
  --instance NAME    Show one instance only.
  --service NAME     Service of the request; all services when left out.
  --plot FILE        Draw the losses by second into a file such as losses.png.
  --json             Write one JSON object, for programs.
  --debug            Show a traceback with an error.
  --version          Show the version.
  -h --help          Show this text.

Defaults of --node, --platform and --operator come from AZURESTEP_NODE,
AZURESTEP_PLATFORM and AZURESTEP_OPERATOR, then from the JSON file that
AZURESTEP_OPERATOR_SETTINGS names. Without any of them, status reads the settings
of a node on the users' platform from the file that AZURESTEP_BOOT names.

Exit status:
  0 done            1 other error          2 wrong usage
  3 invalid file    4 refused              5 not in force in time
  6 platform down   7 node unreachable     8 outcome unknown
  9 port in use   130 interrupted
"""

SIDECAR_USAGE = "Usage: azurestep sidecar [SETTINGS] [--debug]"
"""The part of ``USAGE`` that a node is started with."""
