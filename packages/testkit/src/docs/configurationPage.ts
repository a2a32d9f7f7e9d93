import { documentSchema } from '@buckthornlug/protocol/document/documentSchema.js';
import { settingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { z } from 'zod';

/** The parts of a JSON schema that the reference page shows. */
interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly additionalProperties?: SchemaNode | boolean;
}

function describeType(node: SchemaNode): string {
  if (node.const !== undefined) return JSON.stringify(node.const);
  if (node.enum !== undefined) return node.enum.map((value) => JSON.stringify(value)).join(', ');
  const bounds: string[] = [];
  if (node.minimum !== undefined && node.minimum > -1e9) bounds.push(`from ${node.minimum}`);
  if (node.maximum !== undefined && node.maximum < 1e9) bounds.push(`to ${node.maximum}`);
  return [node.type ?? '', ...bounds].join(' ').trim();
}

function describeDefault(node: SchemaNode, isRequired: boolean): string {
  if (node.default !== undefined && node.properties === undefined) {
    return `\`${JSON.stringify(node.default)}\``;
  }
  return isRequired ? 'required' : '';
}

function rowsOf(node: SchemaNode, path: string): string[] {
  const rows: string[] = [];
  for (const [name, child] of Object.entries(node.properties ?? {})) {
    const childPath = path === '' ? name : `${path}.${name}`;
    const isRequired = node.required?.includes(name) ?? false;
    const text = (child.description ?? '').replaceAll('|', '\\|');
    rows.push(
      `| \`${childPath}\` | ${describeType(child)} | ${describeDefault(child, isRequired)} | ${text} |`,
    );
    rows.push(...rowsOf(child, childPath));
  }
  if (node.items !== undefined) rows.push(...rowsOf(node.items, `${path}[]`));
  if (typeof node.additionalProperties === 'object') {
    rows.push(...rowsOf(node.additionalProperties, `${path}.<id>`));
  }
  return rows;
}

function renderTable(title: string, schema: z.ZodType): string[] {
  const node = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as SchemaNode;
  return [
    `## ${title}`,
    '',
    '| field | type | default | meaning |',
    '| --- | --- | --- | --- |',
    ...rowsOf(node, ''),
    '',
  ];
}

/** Renders docs/CONFIGURATION.md from the schemas of the settings and of the document. */
export function renderConfigurationPage(): string {
  const lines = [
    '# Configuration',
    '',
    'Generated from the schemas in `packages/protocol/src` by `npm run docs`.',
    '',
    ...renderTable('Settings of a host', settingsSchema),
    ...renderTable('The document', documentSchema),
  ];
  return `${lines.join('\n').trimEnd()}\n`;
}
