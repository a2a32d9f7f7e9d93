#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';

import { BackendsCommand } from './commands/backendsCommand.js';
import { DocumentCheckCommand } from './commands/documentCheckCommand.js';
import { DocumentDiffCommand } from './commands/documentDiffCommand.js';
import { DocumentGetCommand } from './commands/documentGetCommand.js';
import { DocumentSubmitCommand } from './commands/documentSubmitCommand.js';
import { GroupAddReplicaCommand } from './commands/groupAddReplicaCommand.js';
import { GroupFormAnewCommand } from './commands/groupFormAnewCommand.js';
import { GroupRemoveReplicaCommand } from './commands/groupRemoveReplicaCommand.js';
import { HostsCommand } from './commands/hostsCommand.js';
import { ShiftsCommand } from './commands/shiftsCommand.js';
import { StatusCommand } from './commands/statusCommand.js';
import { TimelineCommand } from './commands/timelineCommand.js';

const cli = new Cli({
  binaryLabel: 'buckthornlugctl',
  binaryName: 'buckthornlugctl',
  binaryVersion: '0.1.0',
});

const commands = [
  BackendsCommand,
  DocumentCheckCommand,
  DocumentDiffCommand,
  DocumentGetCommand,
  DocumentSubmitCommand,
  GroupAddReplicaCommand,
  GroupFormAnewCommand,
  GroupRemoveReplicaCommand,
  HostsCommand,
  ShiftsCommand,
  StatusCommand,
  TimelineCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];
for (const command of commands) cli.register(command);

await cli.runExit(process.argv.slice(2));
